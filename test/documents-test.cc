#include "figmill/documents.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "batch/answers.h"
#include "control/gossip_codec.h"
#include "figmill/batch.h"
#include "figmill/platform.h"
#include "figmill/query.h"
#include "figmilld/traffic/stored_request.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

// Enough to overflow the stack in a parser, a copy or a comparison that is recursive.
constexpr std::size_t kTooDeep = 200'000;

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string NestedCbor(std::size_t depth) {
  constexpr char kListOfOne = '\x81';
  return std::string(depth, kListOfOne) + '\x01';
}

}  // namespace

TEST_CASE("a document may nest as deeply as the limit") {
  CHECK_FALSE(ParseJson(Nested(kMaxDocumentDepth)).is_discarded());
  CHECK_NOTHROW((void)ParseJsonOrThrow(Nested(kMaxDocumentDepth)));
  CHECK_NOTHROW((void)ParseCborOrThrow(NestedCbor(kMaxDocumentDepth)));
  CHECK(ParseJson(Nested(kMaxDocumentDepth + 1)).is_discarded());
  CHECK_THROWS_AS((void)ParseJsonOrThrow(Nested(kMaxDocumentDepth + 1)), nlohmann::json::exception);
  CHECK_THROWS_AS((void)ParseCborOrThrow(NestedCbor(kMaxDocumentDepth + 1)),
                  nlohmann::json::exception);
}

TEST_CASE("brackets in strings and after one another are no nesting") {
  const std::string text = R"({"a\"[":"\\","b":")" + std::string(1'000, '[') + R"(\"{","c":[)" +
                           std::string(999, ' ') + "1]}";
  CHECK(ParseJson(text).is_object());
  std::string list = "[0";
  for (int i = 0; i < 1'000; ++i) list += ",[{}]";
  CHECK(ParseJson(list + "]").is_array());
}

TEST_CASE("what is no document is refused") {
  for (const char* text : {"", "[", "]", "[[1]", "\"", "\"\\", "{\"a\":1e999", "\xff"}) {
    CAPTURE(text);
    CHECK(ParseJson(text).is_discarded());
    CHECK_THROWS_AS((void)ParseJsonOrThrow(text), nlohmann::json::exception);
  }
}

// Guards against a process that ends as its stack overflows: a datagram, a batch item, an answer of
// a backend server or a stored request that consists of nested values.
TEST_CASE("deeply nested documents from other processes are refused where they are read") {
  CHECK_FALSE(detail::Decode(NestedCbor(kTooDeep)));
  CHECK_FALSE(detail::DecodeTable(NestedCbor(kTooDeep)));
  CHECK_FALSE(detail::DecodeSyncRequest(NestedCbor(kTooDeep)));
  CHECK_FALSE(IsOk(ParseStoredRequest(NestedCbor(kTooDeep))));
  CHECK_FALSE(IsOk(query::ParseAnswer(R"({"columns":)" + Nested(kTooDeep) + "}")));
  const std::string item = R"({"custom_id":"a","method":"POST","url":"/v1/completions","body":)";
  CHECK_FALSE(IsOk(ParseItems(item + R"({"model":"m","prompt":)" + Nested(kTooDeep) + "}}\n")));
  BatchItem model_call;
  model_call.custom_id = "a";
  const ItemAnswer answer{200, Nested(kTooDeep)};
  CHECK_FALSE(detail::AnswerLine(0, model_call, answer).empty());
}
