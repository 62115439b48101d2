#pragma once

// Type-checked reading of untrusted JSON and CBOR documents. Each reader accepts a field of
// exactly the named type, or throws an error that contains the field's name.

#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "figmill/base.h"
#include "figmill/documents.h"

namespace figmill::fields {

using Json = nlohmann::json;

// Maximum bytes of a name; the same as for a key of the table service.
inline constexpr std::size_t kMaxNameBytes = 200;
// Maximum bytes of the reason why a document was refused: the parser quotes its input, which may
// be the whole document.
inline constexpr std::size_t kMaxReasonBytes = 200;
// Longer times are treated as errors, and could overflow when added up. A clock may have an early
// epoch: one that counts from 1970 gives times of 56 years.
inline constexpr Duration kMaxTime = std::chrono::hours(24) * 366 * 1000;
// Doubles represent all whole numbers up to here exactly.
inline constexpr double kMaxExactInteger = 9007199254740992.0;

// Thrown while a document is read; Parsed and similar functions convert it to an Error.
struct BadDocument : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] inline void ThrowFieldError(const char* name, const std::string& why) {
  throw BadDocument("'" + std::string(name) + "' " + why);
}

// Null if the field is missing.
[[nodiscard]] inline const Json* Find(const Json& object, const char* name) {
  if (!object.is_object()) throw BadDocument("expected an object");
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

[[nodiscard]] inline const Json& Require(const Json& object, const char* name) {
  const Json* found = Find(object, name);
  if (found == nullptr) ThrowFieldError(name, "is missing");
  return *found;
}

// --- Values ------------------------------------------------------------------------

[[nodiscard]] inline std::string TextOf(const Json& value, const char* name) {
  if (!value.is_string()) ThrowFieldError(name, "must be a string");
  return value.get_ref<const std::string&>();
}

[[nodiscard]] inline bool FlagOf(const Json& value, const char* name) {
  if (!value.is_boolean()) ThrowFieldError(name, "must be true or false");
  return value.get<bool>();
}

[[nodiscard]] inline double NumberOf(const Json& value, const char* name) {
  if (!value.is_number()) ThrowFieldError(name, "must be a number");
  const auto number = value.get<double>();
  if (!std::isfinite(number)) ThrowFieldError(name, "must be finite");
  return number;
}

// A whole number from `least` to `most`. The library's own conversion would silently turn -1 into
// 18446744073709551615, 2.7 into 2 and true into 1, and a backend server with that many slots
// would attract all requests. 8.0 is accepted as the whole number 8.
template <typename T>
[[nodiscard]] T CountOf(const Json& value, const char* name, T least = 0,
                        T most = std::numeric_limits<T>::max()) {
  static_assert(std::is_unsigned_v<T> || sizeof(T) <= sizeof(std::int64_t));
  const auto out_of_range = [&] {
    ThrowFieldError(name, "must be from " + std::to_string(least) + " to " + std::to_string(most));
  };
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (std::cmp_less(number, least) || std::cmp_greater(number, most)) out_of_range();
    return static_cast<T>(number);
  }
  if (value.is_number_integer()) {
    const auto number = value.get<std::int64_t>();
    if (std::cmp_less(number, least) || std::cmp_greater(number, most)) out_of_range();
    return static_cast<T>(number);
  }
  const double number = NumberOf(value, name);
  if (number != std::floor(number)) ThrowFieldError(name, "must be a whole number");
  if (std::abs(number) > kMaxExactInteger) out_of_range();
  const auto whole = static_cast<std::int64_t>(number);
  if (std::cmp_less(whole, least) || std::cmp_greater(whole, most)) out_of_range();
  return static_cast<T>(whole);
}

[[nodiscard]] inline Duration TimeOf(const Json& value, const char* name, double unit_us) {
  const double us = NumberOf(value, name) * unit_us;
  if (us < 0) ThrowFieldError(name, "must not be negative");
  if (us > static_cast<double>(kMaxTime.count())) ThrowFieldError(name, "is too long a duration");
  return Duration(static_cast<Duration::rep>(us));
}

// --- Fields ------------------------------------------------------------------------

[[nodiscard]] inline std::string Text(const Json& object, const char* name) {
  return TextOf(Require(object, name), name);
}

// A string that names something: not empty, and no longer than a key.
[[nodiscard]] inline std::string Name(const Json& object, const char* name) {
  std::string text = Text(object, name);
  if (text.empty()) ThrowFieldError(name, "is empty");
  if (text.size() > kMaxNameBytes) {
    ThrowFieldError(name, "has more than " + std::to_string(kMaxNameBytes) + " bytes");
  }
  return text;
}

[[nodiscard]] inline bool Flag(const Json& object, const char* name) {
  return FlagOf(Require(object, name), name);
}

template <typename T>
[[nodiscard]] T Count(const Json& object, const char* name, T least = 0,
                      T most = std::numeric_limits<T>::max()) {
  return CountOf<T>(Require(object, name), name, least, most);
}

[[nodiscard]] inline Duration Milliseconds(const Json& object, const char* name) {
  return TimeOf(Require(object, name), name, 1e3);
}

[[nodiscard]] inline const Json& List(const Json& object, const char* name) {
  const Json& list = Require(object, name);
  if (!list.is_array()) ThrowFieldError(name, "must be a list");
  return list;
}

// One of a set of named values.
template <typename T>
[[nodiscard]] T OneOf(const Json& object, const char* name,
                      std::initializer_list<std::pair<std::string_view, T>> choices) {
  const std::string text = Text(object, name);
  for (const auto& [choice, value] : choices) {
    if (text == choice) return value;
  }
  ThrowFieldError(name, "has the unknown value '" + text + "'");
}

// --- Optional fields: missing or null ----------------------------------------------

[[nodiscard]] inline bool Has(const Json& object, const char* name) {
  const Json* found = Find(object, name);
  return found != nullptr && !found->is_null();
}

[[nodiscard]] inline std::string TextOr(const Json& object, const char* name,
                                        std::string fallback) {
  return Has(object, name) ? Text(object, name) : std::move(fallback);
}

[[nodiscard]] inline bool FlagOr(const Json& object, const char* name, bool fallback) {
  return Has(object, name) ? Flag(object, name) : fallback;
}

template <typename T>
[[nodiscard]] T CountOr(const Json& object, const char* name, T fallback, T least = 0) {
  return Has(object, name) ? Count<T>(object, name, least) : fallback;
}

[[nodiscard]] inline Duration MillisecondsOr(const Json& object, const char* name,
                                             Duration fallback) {
  return Has(object, name) ? Milliseconds(object, name) : fallback;
}

[[nodiscard]] inline Duration SecondsOr(const Json& object, const char* name, Duration fallback) {
  return Has(object, name) ? TimeOf(Require(object, name), name, 1e6) : fallback;
}

// --- Documents ---------------------------------------------------------------------

// An error that `what` is malformed, short enough for a log line.
[[nodiscard]] inline Error BadRequest(std::string_view what, std::string_view why) {
  std::string detail(what);
  detail.append(": ").append(why.substr(0, kMaxReasonBytes));
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

// Runs `read` over the parsed text. Errors: kBadRequest with `what` and the position.
template <typename T, typename Read>
[[nodiscard]] Result<T> Parsed(std::string_view text, std::string_view what, Read read) {
  try {
    return read(ParseJsonOrThrow(text));
  } catch (const std::exception& error) {
    return BadRequest(what, error.what());
  }
}

}  // namespace figmill::fields
