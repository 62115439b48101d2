#include <algorithm>
#include <bit>
#include <cstring>
#include <nlohmann/json.hpp>

#include "figmill/batch.h"
#include "figmill/documents.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kDigestLength = 32;
constexpr std::size_t kMaxParts = 4096;

static_assert(std::endian::native == std::endian::little,
              "item hashes are stored in native byte order");

Error ParseError(const char* what) {
  return Error{ErrorKind::kInternal, std::string(what) + " can't be read"};
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

Json ChunksToJson(std::span<const ChunkEntry> chunks) {
  Json list = Json::array();
  for (const ChunkEntry& chunk : chunks) list.push_back({chunk.digest, chunk.items});
  return list;
}

std::optional<std::vector<ChunkEntry>> ChunksFromJson(const Json& list) {
  if (!list.is_array()) return std::nullopt;
  std::vector<ChunkEntry> chunks;
  for (const Json& entry : list) {
    const bool valid = entry.is_array() && entry.size() == 2 && entry[0].is_string() &&
                       entry[1].is_number_unsigned() &&
                       IsDigest(entry[0].get_ref<const std::string&>());
    if (!valid) return std::nullopt;
    chunks.push_back(ChunkEntry{entry[0].get<std::string>(), entry[1].get<std::uint32_t>()});
  }
  return chunks;
}

}  // namespace

// Format: one line of JSON with the chunks, then the binary item hashes.
std::string EncodePartIndex(const PartIndex& index) {
  std::string bytes = ChunksToJson(index.chunks).dump();
  bytes.push_back('\n');
  const std::size_t head = bytes.size();
  bytes.resize(head + index.item_hashes.size() * sizeof(ItemHashes));
  std::memcpy(bytes.data() + head, index.item_hashes.data(),
              index.item_hashes.size() * sizeof(ItemHashes));
  return bytes;
}

Result<PartIndex> ParsePartIndex(std::string_view bytes) {
  const std::size_t newline = bytes.find('\n');
  if (newline == std::string_view::npos) return ParseError("a part's index");
  auto chunks = ChunksFromJson(ParseJson(bytes.substr(0, newline)));
  const std::string_view hash_bytes = bytes.substr(newline + 1);
  if (!chunks || hash_bytes.size() % sizeof(ItemHashes) != 0) return ParseError("a part's index");
  PartIndex index;
  index.chunks = std::move(*chunks);
  index.item_hashes.resize(hash_bytes.size() / sizeof(ItemHashes));
  std::memcpy(index.item_hashes.data(), hash_bytes.data(), hash_bytes.size());
  return index;
}

Result<std::vector<std::string>> ParsePartsManifest(std::string_view body) {
  const Error error{ErrorKind::kBadRequest,
                    R"(the body must be {"parts": [...]} with the digests of 1 to 4096 parts)"};
  const Json json = ParseJson(body);
  if (!json.is_object() || json.size() != 1 || !json.contains("parts")) return error;
  const Json& parts = json["parts"];
  if (!parts.is_array() || parts.empty() || parts.size() > kMaxParts) return error;
  std::vector<std::string> digests;
  for (const Json& part : parts) {
    if (!part.is_string() || !IsDigest(part.get_ref<const std::string&>())) return error;
    digests.push_back(part.get<std::string>());
  }
  return digests;
}

Result<Ok> JobAssembly::Add(const PartIndex& part) {
  if (item_hashes_.size() + part.item_hashes.size() > kMaxJobItems) {
    return Error{ErrorKind::kTooLarge,
                 "a job holds at most " + std::to_string(kMaxJobItems) + " items"};
  }
  const std::size_t old_size = sorted_id_hashes_.size();
  for (const ItemHashes& item : part.item_hashes) sorted_id_hashes_.push_back(item.custom_id_hash);
  const auto begin = sorted_id_hashes_.begin();
  const auto first_new = begin + static_cast<std::ptrdiff_t>(old_size);
  std::sort(first_new, sorted_id_hashes_.end());
  std::inplace_merge(begin, first_new, sorted_id_hashes_.end());
  item_hashes_.insert(item_hashes_.end(), part.item_hashes.begin(), part.item_hashes.end());
  chunks_.insert(chunks_.end(), part.chunks.begin(), part.chunks.end());

  const auto duplicate = std::adjacent_find(sorted_id_hashes_.begin(), sorted_id_hashes_.end());
  if (duplicate == sorted_id_hashes_.end()) return Ok{};
  const auto has_duplicate_id = [&](const ItemHashes& item) {
    return item.custom_id_hash == *duplicate;
  };
  const auto first = std::find_if(item_hashes_.begin(), item_hashes_.end(), has_duplicate_id);
  const auto second = std::find_if(first + 1, item_hashes_.end(), has_duplicate_id);
  return Error{ErrorKind::kBadRequest, "item " + std::to_string(second - item_hashes_.begin() + 1) +
                                           " has the custom_id of item " +
                                           std::to_string(first - item_hashes_.begin() + 1)};
}

std::string JobAssembly::ContentDigest(const TeamId& team, WallTime due) const {
  std::string bytes = team.value + '\n' + std::to_string(due.time_since_epoch().count()) + '\n';
  const std::size_t head = bytes.size();
  bytes.resize(head + item_hashes_.size() * sizeof(ItemHashes));
  std::memcpy(bytes.data() + head, item_hashes_.data(), item_hashes_.size() * sizeof(ItemHashes));
  return DigestOf(bytes);
}

std::string EncodeManifest(std::span<const ChunkEntry> chunks) {
  return ChunksToJson(chunks).dump();
}

Result<std::vector<ChunkEntry>> ParseManifest(std::string_view bytes) {
  auto chunks = ChunksFromJson(ParseJson(bytes));
  if (!chunks) return ParseError("a job's manifest");
  return std::move(*chunks);
}

}  // namespace figmill
