#pragma once

// Strict reading of JSON documents: unknown fields are errors. Private to the control
// library.

#include <cmath>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figmill/base.h"
#include "figmill/documents.h"

namespace figmill::detail {

using Json = nlohmann::json;

// Keeps the first error, so that a parser can read all fields without checking each.
class ParseStatus {
 public:
  void Fail(std::string detail) {
    if (!error_) error_ = Error{ErrorKind::kBadRequest, std::move(detail)};
  }
  [[nodiscard]] bool ok() const { return !error_; }
  [[nodiscard]] const Error& error() const { return *error_; }

 private:
  std::optional<Error> error_;
};

// Reads one JSON object; `where` is its path in the document, for error messages.
class ObjectReader {
 public:
  ObjectReader(const Json& json, std::string where, ParseStatus& status)
      : json_(json), where_(std::move(where)), status_(status) {
    if (!json_.is_object()) status_.Fail(where_ + " must be an object");
  }

  // Fails if a field is not among `names`; the error names the field.
  void Allow(std::initializer_list<std::string_view> names) {
    if (!json_.is_object()) return;
    for (const auto& [key, value] : json_.items()) {
      bool known = false;
      for (const std::string_view name : names) known = known || key == name;
      if (!known) status_.Fail(where_ + " has no field '" + key + "'");
    }
  }

  [[nodiscard]] const Json* Find(std::string_view name) const {
    if (!json_.is_object()) return nullptr;
    const auto found = json_.find(name);
    return found == json_.end() ? nullptr : &*found;
  }
  [[nodiscard]] const Json* Require(std::string_view name) {
    const Json* found = Find(name);
    if (found == nullptr) status_.Fail(where_ + " needs a field '" + std::string(name) + "'");
    return found;
  }

  void Text(std::string_view name, std::string& out) {
    if (const Json* found = Find(name)) {
      if (!found->is_string()) return FailType(name, "a string");
      out = found->get<std::string>();
    }
  }
  void RequireText(std::string_view name, std::string& out) {
    if (Require(name) != nullptr) Text(name, out);
  }
  template <typename Tag>
  void RequireId(std::string_view name, Id<Tag>& out) {
    RequireText(name, out.value);
    if (!status_.ok()) return;
    const Result<std::string> id = ParseId(out.value, Path(name));
    if (!IsOk(id)) status_.Fail(ErrorOf(id).detail);
  }
  void Bool(std::string_view name, bool& out) {
    if (const Json* found = Find(name)) {
      if (!found->is_boolean()) return FailType(name, "true or false");
      out = found->get<bool>();
    }
  }
  void Number(std::string_view name, double& out) {
    if (const Json* found = Find(name)) {
      if (!found->is_number()) return FailType(name, "a number");
      out = found->get<double>();
    }
  }
  template <typename N>
  void Natural(std::string_view name, N& out) {
    if (const Json* found = Find(name)) {
      if (!found->is_number_unsigned() ||
          found->get<std::uint64_t>() > std::numeric_limits<N>::max()) {
        return FailType(name, "a whole number in range");
      }
      out = found->get<N>();
    }
  }
  template <typename N>
  void RequireNatural(std::string_view name, N& out) {
    if (Require(name) != nullptr) Natural(name, out);
  }
  // Milliseconds, possibly fractional.
  void Milliseconds(std::string_view name, Duration& out) {
    constexpr double kMost = 1e12;  // 31 years; keeps the conversion defined
    double value = static_cast<double>(out.count()) / 1000.0;
    Number(name, value);
    if (!(value >= 0 && value <= kMost)) return FailType(name, "a time in milliseconds");
    out = Duration(std::llround(value * 1000.0));
  }
  // Calls `each(element, where)` for the elements of an array.
  template <typename Each>
  void Array(std::string_view name, Each each) {
    const Json* found = Find(name);
    if (found == nullptr) return;
    if (!found->is_array()) return FailType(name, "an array");
    std::size_t index = 0;
    for (const Json& element : *found) {
      each(element, Path(name) + "[" + std::to_string(index++) + "]");
    }
  }
  template <typename Tag>
  void Ids(std::string_view name, std::vector<Id<Tag>>& out) {
    Array(name, [&](const Json& element, const std::string& where) {
      if (!element.is_string()) return status_.Fail(where + " must be a string");
      const Result<std::string> id = ParseId(element.get_ref<const std::string&>(), where);
      if (!IsOk(id)) return status_.Fail(ErrorOf(id).detail);
      out.push_back(Id<Tag>{ValueOf(id)});
    });
  }

  [[nodiscard]] std::string Path(std::string_view name) const {
    return where_ + "." + std::string(name);
  }
  [[nodiscard]] ParseStatus& status() { return status_; }

 private:
  void FailType(std::string_view name, std::string_view expected) {
    status_.Fail(Path(name) + " must be " + std::string(expected));
  }

  const Json& json_;
  std::string where_;
  ParseStatus& status_;
};

// Parses `text` and converts the document by `read(json, status)`.
template <typename T, typename Read>
[[nodiscard]] Result<T> ParseDocument(std::string_view text, std::string_view what, Read read) {
  const Json json = ParseJson(text);
  if (json.is_discarded()) {
    return Error{ErrorKind::kBadRequest, std::string(what) + " is not JSON"};
  }
  ParseStatus status;
  T value = read(json, status);
  if (!status.ok()) return status.error();
  return value;
}

template <typename Tag>
[[nodiscard]] Json IdsToJson(const std::vector<Id<Tag>>& ids) {
  Json out = Json::array();
  for (const Id<Tag>& id : ids) out.push_back(id.value);
  return out;
}
[[nodiscard]] inline double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace figmill::detail
