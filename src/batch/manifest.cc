#include <algorithm>
#include <bit>
#include <cstring>
#include <nlohmann/json.hpp>

#include "figmill/batch.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kDigestLength = 32;
constexpr std::size_t kMaxParts = 4096;

static_assert(std::endian::native == std::endian::little,
              "item marks are stored as they lie in memory");

Error Unreadable(const char* what) {
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
    const bool good = entry.is_array() && entry.size() == 2 && entry[0].is_string() &&
                      entry[1].is_number_unsigned() &&
                      IsDigest(entry[0].get_ref<const std::string&>());
    if (!good) return std::nullopt;
    chunks.push_back(ChunkEntry{entry[0].get<std::string>(), entry[1].get<std::uint32_t>()});
  }
  return chunks;
}

}  // namespace

// One line of JSON (the chunks), then the marks.
std::string EncodePartIndex(const PartIndex& index) {
  std::string bytes = ChunksToJson(index.chunks).dump();
  bytes.push_back('\n');
  const std::size_t head = bytes.size();
  bytes.resize(head + index.marks.size() * sizeof(ItemMark));
  std::memcpy(bytes.data() + head, index.marks.data(), index.marks.size() * sizeof(ItemMark));
  return bytes;
}

Result<PartIndex> ParsePartIndex(std::string_view bytes) {
  const std::size_t newline = bytes.find('\n');
  if (newline == std::string_view::npos) return Unreadable("a part's index");
  auto chunks = ChunksFromJson(Json::parse(bytes.substr(0, newline), nullptr, false));
  const std::string_view marks = bytes.substr(newline + 1);
  if (!chunks || marks.size() % sizeof(ItemMark) != 0) return Unreadable("a part's index");
  PartIndex index;
  index.chunks = std::move(*chunks);
  index.marks.resize(marks.size() / sizeof(ItemMark));
  std::memcpy(index.marks.data(), marks.data(), marks.size());
  return index;
}

Result<std::vector<std::string>> ParsePartsManifest(std::string_view body) {
  const Error bad{ErrorKind::kBadRequest,
                  R"(the body must be {"parts": [...]} with the digests of 1 to 4096 parts)"};
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || json.size() != 1 || !json.contains("parts")) return bad;
  const Json& parts = json["parts"];
  if (!parts.is_array() || parts.empty() || parts.size() > kMaxParts) return bad;
  std::vector<std::string> digests;
  for (const Json& part : parts) {
    if (!part.is_string() || !IsDigest(part.get_ref<const std::string&>())) return bad;
    digests.push_back(part.get<std::string>());
  }
  return digests;
}

Result<Ok> JobAssembly::Add(const PartIndex& part) {
  if (marks_.size() + part.marks.size() > kMaxJobItems) {
    return Error{ErrorKind::kTooLarge,
                 "a job holds at most " + std::to_string(kMaxJobItems) + " items"};
  }
  const std::size_t middle = sorted_ids_.size();
  for (const ItemMark& mark : part.marks) sorted_ids_.push_back(mark.custom_id_hash);
  const auto begin = sorted_ids_.begin();
  const auto first_new = begin + static_cast<std::ptrdiff_t>(middle);
  std::sort(first_new, sorted_ids_.end());
  std::inplace_merge(begin, first_new, sorted_ids_.end());
  marks_.insert(marks_.end(), part.marks.begin(), part.marks.end());
  chunks_.insert(chunks_.end(), part.chunks.begin(), part.chunks.end());

  const auto twice = std::adjacent_find(sorted_ids_.begin(), sorted_ids_.end());
  if (twice == sorted_ids_.end()) return Ok{};
  const auto is_it = [&](const ItemMark& mark) { return mark.custom_id_hash == *twice; };
  const auto first = std::find_if(marks_.begin(), marks_.end(), is_it);
  const auto second = std::find_if(first + 1, marks_.end(), is_it);
  return Error{ErrorKind::kBadRequest, "item " + std::to_string(second - marks_.begin() + 1) +
                                           " has the custom_id of item " +
                                           std::to_string(first - marks_.begin() + 1)};
}

std::string JobAssembly::ContentDigest(const TeamId& team, WallTime due) const {
  std::string bytes = team.value + '\n' + std::to_string(due.time_since_epoch().count()) + '\n';
  const std::size_t head = bytes.size();
  bytes.resize(head + marks_.size() * sizeof(ItemMark));
  std::memcpy(bytes.data() + head, marks_.data(), marks_.size() * sizeof(ItemMark));
  return DigestOf(bytes);
}

std::string EncodeManifest(std::span<const ChunkEntry> chunks) {
  return ChunksToJson(chunks).dump();
}

Result<std::vector<ChunkEntry>> ParseManifest(std::string_view bytes) {
  auto chunks = ChunksFromJson(Json::parse(bytes, nullptr, false));
  if (!chunks) return Unreadable("a job's manifest");
  return std::move(*chunks);
}

}  // namespace figmill
