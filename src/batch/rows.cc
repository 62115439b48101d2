#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "figmill/batch.h"
#include "figmill/documents.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 3> kStateNames = {"running", "done", "cancelled"};
constexpr std::size_t kChunkDigits = 6;

std::optional<JobState> ParseJobState(std::string_view name) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) return static_cast<JobState>(i);
  }
  return std::nullopt;
}

// Parses `value` as JSON and converts it with `read`. A malformed row indicates a
// defect or an unknown writer, so it is an error and no defaults are filled in.
template <typename T, typename Read>
Result<T> Parse(std::string_view value, const char* what, Read read) {
  const Error error{ErrorKind::kInternal, std::string("a ") + what + " row can't be read"};
  const Json json = ParseJson(value);
  if (!json.is_object()) return error;
  try {
    T row;
    if (!read(json, row)) return error;
    return row;
  } catch (const Json::exception&) {
    return error;
  }
}

std::string FormatNumber(const char* format, unsigned value) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

}  // namespace

std::string_view ToString(JobState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::string EncodeJobRow(const JobRow& row) {
  return Json{{"token", row.token.value},       {"state", ToString(row.state)},
              {"team", row.team.value},         {"due_ms", row.due.time_since_epoch().count()},
              {"digest", row.digest},           {"items", row.items},
              {"chunks", row.chunks},           {"owner", row.owner.value},
              {"owner_lease", row.owner_lease}, {"epoch", row.epoch}}
      .dump();
}

Result<JobRow> ParseJobRow(std::string_view value) {
  return Parse<JobRow>(value, "job", [](const Json& json, JobRow& row) {
    const auto state = ParseJobState(json.at("state").get_ref<const std::string&>());
    if (!state) return false;
    row.token.value = json.at("token");
    row.state = *state;
    row.team.value = json.at("team");
    row.due = WallTime(std::chrono::milliseconds(json.at("due_ms").get<std::int64_t>()));
    row.digest = json.at("digest");
    row.items = json.at("items");
    row.chunks = json.at("chunks");
    row.owner.value = json.at("owner");
    row.owner_lease = json.at("owner_lease");
    row.epoch = json.at("epoch");
    return true;
  });
}

std::string EncodeChunkRow(const ChunkRow& row) {
  return Json{
      {"token", row.token.value}, {"state", row.state == ChunkState::kDone ? "done" : "intended"},
      {"epoch", row.epoch},       {"object", row.object},
      {"pieces", row.pieces},     {"succeeded", row.succeeded},
      {"failed", row.failed}}
      .dump();
}

Result<ChunkRow> ParseChunkRow(std::string_view value) {
  return Parse<ChunkRow>(value, "chunk", [](const Json& json, ChunkRow& row) {
    const auto& state = json.at("state").get_ref<const std::string&>();
    if (state != "done" && state != "intended") return false;
    row.token.value = json.at("token");
    row.state = state == "done" ? ChunkState::kDone : ChunkState::kIntended;
    row.epoch = json.at("epoch");
    row.object = json.at("object");
    row.pieces = json.at("pieces");
    row.succeeded = json.at("succeeded");
    row.failed = json.at("failed");
    return true;
  });
}

std::string EncodeOpenJobRow(const OpenJobRow& row) {
  return Json{
      {"token", row.token.value}, {"owner", row.owner.value}, {"owner_lease", row.owner_lease}}
      .dump();
}

Result<OpenJobRow> ParseOpenJobRow(std::string_view value) {
  return Parse<OpenJobRow>(value, "open job", [](const Json& json, OpenJobRow& row) {
    row.token.value = json.at("token");
    row.owner.value = json.at("owner");
    row.owner_lease = json.at("owner_lease");
    return true;
  });
}

std::string JobKey(const JobId& job) {
  return "job/" + job.value;
}

std::uint32_t ShardOf(const JobId& job) {
  return static_cast<std::uint32_t>(XXH3_64bits(job.value.data(), job.value.size()) %
                                    kOpenJobShards);
}

std::string OpenJobPrefix(std::uint32_t shard) {
  return "open/" + FormatNumber("%02x", shard) + "/";
}

std::string OpenJobKey(const JobId& job) {
  return OpenJobPrefix(ShardOf(job)) + job.value;
}

std::string ChunkPrefix(const JobId& job) {
  return "chunk/" + job.value + "/";
}

std::string ChunkKey(const JobId& job, std::uint32_t chunk) {
  static_assert(kChunkDigits == 6);
  return ChunkPrefix(job) + FormatNumber("%06u", chunk);
}

std::string PartObjectKey(const JobId& job, std::uint32_t part, std::string_view digest) {
  return "jobs/" + job.value + "/part/" + std::to_string(part) + "/" + std::string(digest);
}

std::string ItemsObjectKey(const JobId& job, std::string_view chunk_digest) {
  return "jobs/" + job.value + "/items/" + std::string(chunk_digest);
}

std::string ManifestObjectKey(const JobId& job, std::string_view content_digest) {
  return "jobs/" + job.value + "/manifest/" + std::string(content_digest);
}

JobProgress ProgressOf(std::span<const Row> chunk_rows) {
  JobProgress progress;
  for (const Row& row : chunk_rows) {
    const Result<ChunkRow> chunk = ParseChunkRow(row.value);
    if (!IsOk(chunk) || ValueOf(chunk).state != ChunkState::kDone) continue;
    progress.succeeded += ValueOf(chunk).succeeded;
    progress.failed += ValueOf(chunk).failed;
    for (std::uint32_t piece = 0; piece < ValueOf(chunk).pieces; ++piece) {
      progress.objects.push_back(ValueOf(chunk).object + "-" + std::to_string(piece));
    }
  }
  return progress;
}

}  // namespace figmill
