#include <algorithm>
#include <array>
#include <cctype>

#include "figmill/quarantine.h"

namespace figmill {
namespace {

constexpr char kListSeparator = ',';
constexpr char kSizeSeparator = ':';
constexpr std::size_t kMaxIdDigits = 64;
constexpr std::size_t kDigestDigits = 32;
constexpr std::string_view kPartPrefix = "part-";
constexpr char kScopeSeparator = '-';
constexpr std::size_t kScopeDigits = 16;  // of the digest of the service

bool IsHexadecimal(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char digit) { return std::isxdigit(digit) != 0; });
}

bool IsDigest(std::string_view text, std::size_t digits) {
  return text.size() == digits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsPartId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdDigits && IsHexadecimal(text);
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
    if (!IsPartId(id)) continue;
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) ids.push_back(id);
  }
  return ids;
}

std::vector<Fingerprint> PartFingerprintsOf(std::string_view prompt_parts,
                                            const ServiceName& service) {
  std::vector<Fingerprint> fingerprints;
  const std::array<std::string_view, 1> scope{service.value};
  const std::string digest = ContentDigest(scope).substr(0, kScopeDigits);
  for (const std::string_view id : SharedPartsOf(prompt_parts)) {
    fingerprints.push_back({std::string(kPartPrefix) + std::string(id) + kScopeSeparator + digest});
  }
  return fingerprints;
}

bool IsPart(const Fingerprint& fingerprint) {
  return fingerprint.value.starts_with(kPartPrefix);
}

bool IsFingerprint(std::string_view text) {
  if (!text.starts_with(kPartPrefix)) return IsDigest(text, kDigestDigits);
  text.remove_prefix(kPartPrefix.size());
  const std::size_t separator = text.find(kScopeSeparator);
  if (separator == std::string_view::npos) return false;
  return IsPartId(text.substr(0, separator)) && IsDigest(text.substr(separator + 1), kScopeDigits);
}

}  // namespace figmill
