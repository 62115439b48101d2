#include "figmill/documents.h"

#include <nlohmann/json.hpp>
#include <string>

#include "documents/cbor_nesting.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

// Id of the exception; the library's own ids of this kind begin with 501.
constexpr int kNestingErrorId = 599;

[[noreturn]] void ThrowNestingError(const std::string& what) {
  throw Json::other_error::create(kNestingErrorId, what, nullptr);
}

}  // namespace

// Counts brackets outside of strings. Whether they match is left to the parser.
bool IsJsonWithinDepth(std::string_view text, std::size_t max_depth) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > max_depth) return false;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return true;
}

Json ParseJson(std::string_view text) {
  if (!IsJsonWithinDepth(text)) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

Json ParseJsonOrThrow(std::string_view text) {
  if (!IsJsonWithinDepth(text)) ThrowNestingError("the JSON nests too deeply");
  return Json::parse(text);
}

Json ParseCborOrThrow(std::string_view bytes, std::size_t max_depth) {
  if (!detail::IsCborWithinDepth(bytes, max_depth)) ThrowNestingError("not CBOR of a known form");
  return Json::from_cbor(bytes.begin(), bytes.end());
}

}  // namespace figmill
