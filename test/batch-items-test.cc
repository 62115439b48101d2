#include "batch_model.h"

using namespace batch_model;  // NOLINT(google-build-using-namespace): tests read better

namespace {

std::string Refusal(const std::string& text) {
  const Result<SplitPart> part = SplitItems(text);
  REQUIRE_FALSE(IsOk(part));
  return ErrorOf(part).detail;
}

JobAssembly Assemble(const std::vector<std::string>& parts) {
  JobAssembly assembly;
  for (const std::string& text : parts) {
    // Through the codec, as the entry that assembles reads it from the store.
    const PartIndex index = ValueOf(SplitItems(text)).index;
    const PartIndex read = ValueOf(ParsePartIndex(EncodePartIndex(index)));
    REQUIRE(read == index);
    REQUIRE(IsOk(assembly.Add(read)));
  }
  return assembly;
}

}  // namespace

TEST_CASE("a line that can't be taken is named with what is wrong") {
  const std::string good = ItemLine("a");
  CHECK(Refusal(good + "{\n") == "line 2: no JSON");
  CHECK(Refusal(good + "\n[]\n").starts_with("line 3: an object"));
  CHECK(Refusal(R"({"custom_id":"a","url":"/v1/completions","body":{},"prio":1})")
            .ends_with("'prio'"));
  CHECK(Refusal(R"({"custom_id":"a","url":"/v1/completions","body":{}})").find("model") !=
        std::string::npos);
  CHECK(Refusal(R"({"custom_id":"a","url":"/etc","body":{}})").find("'/etc'") != std::string::npos);
  CHECK(Refusal("\n") == "there is no item");
}

TEST_CASE("the same items are the same job, however they were divided") {
  const std::string a = ItemLine("a");
  const std::string b = ItemLine("b");
  const TeamId team{"t"};
  const std::string whole = Assemble({a + b}).ContentDigest(team, {});
  CHECK(Assemble({a, b}).ContentDigest(team, {}) == whole);
  CHECK(Assemble({b, a}).ContentDigest(team, {}) != whole);
  CHECK(Assemble({a + b}).ContentDigest(TeamId{"u"}, {}) != whole);
}

TEST_CASE("a custom_id that comes twice is refused, also over parts") {
  JobAssembly assembly = Assemble({ItemLine("a") + ItemLine("b")});
  const Result<Ok> added = assembly.Add(ValueOf(SplitItems(ItemLine("c") + ItemLine("b"))).index);
  REQUIRE_FALSE(IsOk(added));
  CHECK(ErrorOf(added).detail == "item 4 has the custom_id of item 2");
}

TEST_CASE("chunks join to the upload and keep their bounds") {
  std::string text;
  for (int i = 0; i < 1000; ++i) text += ItemLine("r" + std::to_string(i));
  for (int i = 0; i < 100; ++i) text += ItemLine("n" + std::to_string(i), false);
  const SplitPart part = ValueOf(SplitItems(text));
  std::string joined;
  for (std::size_t i = 0; i < part.texts.size(); ++i) {
    const std::vector<BatchItem> items = ValueOf(ParseItems(part.texts[i]));
    CHECK(items.size() == part.index.chunks[i].items);
    CHECK(items.size() <= kMaxChunkItems);
    CHECK(std::count_if(items.begin(), items.end(), [](const auto& x) { return !x.repeatable; }) <=
          kMaxNotRepeatablePerChunk);
    joined += part.texts[i];
  }
  CHECK(joined == text);
  CHECK(ValueOf(ParseManifest(EncodeManifest(part.index.chunks))) == part.index.chunks);
}

TEST_CASE("a job whose acceptance answer was lost is accepted once, by token or by content") {
  // Symptom: a client is told "refused" about a job that runs, or its resend
  // makes a second job. Sequence: the row is written, the answer lost, an owner
  // claims the job at once and so replaces the token.
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    CAPTURE(seed);
    World world(seed, 1, 1);
    world.store.lost_answers = 0.5;
    const Result<JobAccepted> first = world.Put(JobId{"j"}, ItemLine("a"));
    world.store.lost_answers = 0;
    if (!IsOk(first)) CHECK(ErrorOf(first).ran == Ran::kUnknown);
    const Result<JobAccepted> again = world.Put(JobId{"j"}, ItemLine("a"));
    REQUIRE(IsOk(again));
    if (IsOk(first)) CHECK_FALSE(ValueOf(again).created);
    const Result<JobAccepted> other = world.Put(JobId{"j"}, ItemLine("b"));
    CHECK(ErrorOf(other).kind == ErrorKind::kConflict);
    REQUIRE(world.RunUntil([&] { return world.Done(JobId{"j"}); }, 60s));
    world.CheckResults(JobId{"j"}, {"a"});
  }
}
