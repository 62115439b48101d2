#include <algorithm>
#include <cctype>

#include "figmill/quarantine.h"

namespace figmill {
namespace {

constexpr char kListSeparator = ',';
constexpr char kSizeSeparator = ':';
constexpr std::size_t kMaxIdDigits = 32;

bool IsHexadecimal(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char digit) { return std::isxdigit(digit) != 0; });
}

std::string_view Trim(std::string_view text) {
  while (text.starts_with(' ')) text.remove_prefix(1);
  while (text.ends_with(' ')) text.remove_suffix(1);
  return text;
}

}  // namespace

std::vector<std::string_view> SharedPartsOf(std::string_view prompt_parts) {
  std::vector<std::string_view> ids;
  for (std::size_t comma = prompt_parts.find(kListSeparator);
       comma != std::string_view::npos && ids.size() < kMaxPartsOfPrompt;
       comma = prompt_parts.find(kListSeparator)) {
    const std::string_view entry = prompt_parts.substr(0, comma);
    const std::string_view id = Trim(entry.substr(0, entry.find(kSizeSeparator)));
    prompt_parts.remove_prefix(comma + 1);
    if (id.empty() || id.size() > kMaxIdDigits || !IsHexadecimal(id)) continue;
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) ids.push_back(id);
  }
  return ids;
}

std::string SharedPartsText(std::string_view prompt_parts) {
  std::string text;
  for (const std::string_view id : SharedPartsOf(prompt_parts)) {
    if (!text.empty()) text += kListSeparator;
    text += id;
  }
  return text;
}

}  // namespace figmill
