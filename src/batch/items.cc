#include <nlohmann/json.hpp>

#include "figmill/batch.h"
#include "figmill/documents.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::size_t kMaxCustomIdLength = 256;
constexpr std::uint32_t kAssumedAnswerTokens = 1024;
constexpr std::size_t kAnswerBytesPerToken = 8;

Error LineError(std::size_t line, const std::string& what) {
  return Error{ErrorKind::kBadRequest, "line " + std::to_string(line) + ": " + what};
}

bool IsModelPath(std::string_view url) {
  return url == "/v1/completions" || url == "/v1/chat/completions";
}

// Parses "/v1/services/{service}/{path}". Returns false for any other url.
bool ParseServiceUrl(std::string_view url, BatchItem& item) {
  if (!url.starts_with(kServicesPrefix)) return false;
  url.remove_prefix(kServicesPrefix.size());
  const std::size_t slash = url.find('/');
  if (slash == std::string_view::npos) return false;
  item.service.value = url.substr(0, slash);
  item.path = url.substr(slash);
  return IsRequestTarget(item.path) && IsOk(ParseId(item.service.value, "service"));
}

std::uint32_t MaxTokensOf(const Json& body) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto found = body.find(name);
    if (found != body.end() && found->is_number_unsigned()) return found->get<std::uint32_t>();
  }
  return 0;
}

// Returns an error message, or an empty string on success.
std::string ParseModelCall(const std::string& url, const Json& body, BatchItem& item) {
  if (!body.is_object()) return "body must be an object";
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) return "body must name its model";
  item.service.value = model->get<std::string>();
  if (!IsOk(ParseId(item.service.value, "model"))) return "body names a malformed model";
  if (body.value("stream", Json(false)) != Json(false)) return "stream is not supported in a job";
  item.path = url;
  item.tokens = MaxTokensOf(body);
  return {};
}

std::string ParseFields(const Json& line, BatchItem& item) {
  if (!line.is_object()) return "an object is expected";
  for (const auto& [name, value] : line.items()) {
    if (name != "custom_id" && name != "url" && name != "body" && name != "repeatable") {
      return "unknown field '" + name + "'";
    }
  }
  const auto id = line.find("custom_id");
  if (id == line.end() || !id->is_string()) return "custom_id must be a string";
  item.custom_id = id->get<std::string>();
  if (item.custom_id.empty() || item.custom_id.size() > kMaxCustomIdLength) {
    return "custom_id must have 1 to " + std::to_string(kMaxCustomIdLength) + " bytes";
  }
  const auto repeatable = line.find("repeatable");
  if (repeatable != line.end()) {
    if (!repeatable->is_boolean()) return "repeatable must be true or false";
    item.repeatable = repeatable->get<bool>();
  }
  const auto url = line.find("url");
  if (url == line.end() || !url->is_string()) return "url must be a string";
  const auto body = line.find("body");
  if (body == line.end()) return "body is missing";
  const auto& path = url->get_ref<const std::string&>();
  if (IsModelPath(path)) {
    if (std::string error = ParseModelCall(path, *body, item); !error.empty()) return error;
  } else if (!ParseServiceUrl(path, item)) {
    return "url '" + path + "' is not supported in a job";
  }
  item.body = body->dump();
  return {};
}

Result<BatchItem> ParseLine(std::string_view text, std::size_t number) {
  const Json line = ParseJson(text);
  if (line.is_discarded()) return LineError(number, "no JSON");
  BatchItem item;
  if (std::string error = ParseFields(line, item); !error.empty()) return LineError(number, error);
  return item;
}

// Iterates over the non-blank lines of a text.
class LineReader {
 public:
  explicit LineReader(std::string_view text) : text_(text) {}

  bool Next() {
    while (position_ < text_.size()) {
      const std::size_t end = std::min(text_.find('\n', position_), text_.size());
      begin_ = position_;
      line_ = text_.substr(position_, end - position_);
      position_ = std::min(end + 1, text_.size());
      ++number_;
      if (line_.find_first_not_of(" \t\r") != std::string_view::npos) return true;
    }
    return false;
  }
  [[nodiscard]] std::string_view line() const { return line_; }
  [[nodiscard]] std::size_t number() const { return number_; }
  [[nodiscard]] std::size_t begin() const { return begin_; }
  [[nodiscard]] std::size_t end() const { return position_; }

 private:
  std::string_view text_;
  std::string_view line_;
  std::size_t position_ = 0;
  std::size_t begin_ = 0;
  std::size_t number_ = 0;
};

// Splits a text into chunks within the limits on items and bytes.
class ChunkSplitter {
 public:
  ChunkSplitter(std::string_view text, SplitPart& out) : text_(text), out_(out) {}

  void Add(std::size_t begin, std::size_t end, std::uint32_t tokens, bool repeatable) {
    const std::size_t answer =
        std::size_t{tokens == 0 ? kAssumedAnswerTokens : tokens} * kAnswerBytesPerToken;
    const bool full = items_ >= kMaxChunkItems || not_repeatable_ >= kMaxNotRepeatablePerChunk ||
                      (items_ > 0 && end - begin_ > kMaxChunkBytes) ||
                      (items_ > 0 && answer_bytes_ + answer > kMaxChunkAnswerBytes);
    if (full) EndChunk(begin);
    ++items_;
    answer_bytes_ += answer;
    if (!repeatable) ++not_repeatable_;
  }
  void EndChunk(std::size_t end) {
    if (items_ == 0) return;
    const std::string_view chunk = text_.substr(begin_, end - begin_);
    out_.texts.push_back(chunk);
    out_.index.chunks.push_back(ChunkEntry{DigestOf(chunk), items_});
    begin_ = end;
    items_ = 0;
    not_repeatable_ = 0;
    answer_bytes_ = 0;
  }

 private:
  std::string_view text_;
  SplitPart& out_;
  std::size_t begin_ = 0;
  std::uint32_t items_ = 0;
  std::uint32_t not_repeatable_ = 0;
  std::size_t answer_bytes_ = 0;
};

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

Result<std::vector<BatchItem>> ParseItems(std::string_view text) {
  std::vector<BatchItem> items;
  LineReader lines(text);
  while (lines.Next()) {
    Result<BatchItem> item = ParseLine(lines.line(), lines.number());
    if (!IsOk(item)) return ErrorOf(item);
    items.push_back(std::move(ValueOf(item)));
  }
  return items;
}

Result<SplitPart> SplitItems(std::string_view text, const RepeatableRule& rule) {
  SplitPart part;
  ChunkSplitter splitter(text, part);
  LineReader lines(text);
  while (lines.Next()) {
    const Result<BatchItem> parsed = ParseLine(lines.line(), lines.number());
    if (!IsOk(parsed)) return ErrorOf(parsed);
    const BatchItem& item = ValueOf(parsed);
    if (part.index.item_hashes.size() == kMaxJobItems) {
      return Error{ErrorKind::kTooLarge,
                   "a job holds at most " + std::to_string(kMaxJobItems) + " items"};
    }
    const bool repeatable = item.repeatable && (!rule || rule(item.service, item.path));
    splitter.Add(lines.begin(), lines.end(), item.tokens, repeatable);
    part.index.item_hashes.push_back(ItemHashes{Hash(item.custom_id), Hash(lines.line())});
  }
  splitter.EndChunk(text.size());
  if (part.texts.empty()) return Error{ErrorKind::kBadRequest, "there is no item"};
  return part;
}

std::string DigestOf(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : canonical.digest) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

}  // namespace figmill
