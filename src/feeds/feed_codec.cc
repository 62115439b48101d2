#include <msgpack.hpp>
#include <stdexcept>

#include "encoding/bounded_unpack.h"
#include "figmill/feeds.h"

namespace figmill {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;

// Array nesting: the message, its rows, one row.
constexpr std::size_t kMaxDepth = 3;
constexpr std::uint32_t kMessageElements = 3;
constexpr std::uint32_t kRowElements = 5;
constexpr Duration kMaxAge = std::chrono::hours(24);

void Pack(Packer& packer, const TableRow& row) {
  packer.pack_array(kRowElements);
  packer.pack(row.at.part);
  packer.pack(row.at.key);
  packer.pack(row.version);
  packer.pack(row.deleted);
  packer.pack_bin(static_cast<std::uint32_t>(row.value.size()));
  packer.pack_bin_body(row.value.data(), static_cast<std::uint32_t>(row.value.size()));
}

const Object& Element(const Object& array, std::uint32_t index, std::uint32_t size) {
  if (array.type != msgpack::type::ARRAY || array.via.array.size != size) {
    throw std::invalid_argument("not an array of " + std::to_string(size) + " elements");
  }
  return array.via.array.ptr[index];
}

std::string Bytes(const Object& object) {
  if (object.type != msgpack::type::BIN) throw std::invalid_argument("a value is not binary");
  return {object.via.bin.ptr, object.via.bin.size};
}

TableRow ReadRow(std::string_view table, const Object& object) {
  TableRow row;
  row.at.table = table;
  row.at.part = Element(object, 0, kRowElements).as<std::string>();
  row.at.key = Element(object, 1, kRowElements).as<std::string>();
  row.version = Element(object, 2, kRowElements).as<RowVersion>();
  row.deleted = Element(object, 3, kRowElements).as<bool>();
  row.value = Bytes(Element(object, 4, kRowElements));
  return row;
}

TableChanges ReadMessage(std::string_view table, const Object& object) {
  TableChanges changes;
  changes.version = Element(object, 0, kMessageElements).as<RowVersion>();
  changes.age = Duration(Element(object, 1, kMessageElements).as<std::int64_t>());
  if (changes.age < Duration{0} || changes.age > kMaxAge) {
    throw std::invalid_argument("an age is out of range");
  }
  const Object& rows = Element(object, 2, kMessageElements);
  if (rows.type != msgpack::type::ARRAY) throw std::invalid_argument("the rows are no array");
  for (std::uint32_t i = 0; i < rows.via.array.size; ++i) {
    changes.rows.push_back(ReadRow(table, rows.via.array.ptr[i]));
  }
  return changes;
}

}  // namespace

std::string EncodeChanges(const TableChanges& changes) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kMessageElements);
  packer.pack(changes.version);
  packer.pack(static_cast<std::int64_t>(changes.age.count()));
  packer.pack_array(static_cast<std::uint32_t>(changes.rows.size()));
  for (const TableRow& row : changes.rows) Pack(packer, row);
  return {buffer.data(), buffer.size()};
}

Result<TableChanges> DecodeChanges(std::string_view table, std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes, kMaxDepth);
    return ReadMessage(table, handle.get());
  } catch (const std::exception& error) {
    return Error{ErrorKind::kBadRequest, std::string("relayed changes: ") + error.what()};
  }
}

}  // namespace figmill
