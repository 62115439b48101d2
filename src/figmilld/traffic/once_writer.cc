#include "figmilld/traffic/once_writer.h"

#include <algorithm>

#include "figmilld/traffic/once_relay.h"

namespace figmill {
namespace {

// At the peak this bounds eight data centres to 200 transactions a second; a write
// that comes after a longer pause doesn't wait (docs/design/once.md).
constexpr Duration kInterval{40'000};
constexpr Duration kRelayTimeout{1'000'000};
// A writer that did not answer is passed by for so long; membership knows by then.
constexpr Duration kAvoid{5'000'000};

}  // namespace

OnceWriter::OnceWriter(Loop& loop, HttpClient& client, TableStore& store, WriterOf writer_of)
    : loop_(loop),
      client_(client),
      store_(store),
      writer_of_(std::move(writer_of)),
      funnel_(GroupCommitLimits{.min_interval = kInterval}) {}

void OnceWriter::Write(OnceWrite write, Done done) {
  const std::optional<Address> writer = writer_of_();
  if (writer && Loop::Now() >= avoid_until_) {
    return Relay(*writer, std::move(write), std::move(done));
  }
  WriteHere(std::move(write), std::move(done));
}

void OnceWriter::Relay(const Address& to, OnceWrite write, Done done) {
  HttpCall call;
  call.method = "POST";
  call.to = to;
  call.target = kOnceWritePath;
  call.body = SerializeOnceWrite(write);
  call.headers.push_back({"Content-Type", "application/json"});
  call.total_timeout = kRelayTimeout;
  client_.Fetch(std::move(call), [this, write = std::move(write),
                                  done = std::move(done)](const Result<HttpResponse>& answer) {
    if (IsOk(answer) && ValueOf(answer).status == 200) {
      return done(ParseOnceFate(ValueOf(answer).body));
    }
    avoid_until_ = Loop::Now() + kAvoid;
    const bool sent = IsOk(answer) || ErrorOf(answer).ran != Ran::kNo;
    // Whoever wrote, or not, the same write again is harmless; but its fate by that
    // way is unknown, and the item has to learn so.
    if (sent) return done(FateUnknown{"the writing entry didn't answer"});
    WriteHere(write, done);
  });
}

void OnceWriter::WriteHere(OnceWrite write, Done done) {
  const GroupCommitter::WriteId id = next_++;
  waiting_.emplace(id, std::move(done));
  Act(funnel_.Submit(id, std::move(write), Loop::Now()));
}

void OnceWriter::Act(std::vector<GroupCommitter::Action> actions) {
  for (GroupCommitter::Action& action : actions) {
    std::visit(Overloaded{
                   [this](GroupCommitter::Begin& begin) {
                     store_.Commit(std::move(begin.transaction),
                                   [this, id = begin.id](const TransactionOutcome& outcome) {
                                     Act(funnel_.Done(id, outcome, Loop::Now()));
                                   });
                   },
                   [this](GroupCommitter::Reply& reply) {
                     auto found = waiting_.extract(reply.id);
                     if (!found.empty()) found.mapped()(std::move(reply.result));
                   },
                   [this](GroupCommitter::WakeAt& wake) {
                     timer_ = loop_.After(std::max(wake.at - Loop::Now(), Duration{0}),
                                          [this] { Act(funnel_.Tick(Loop::Now())); });
                   },
               },
               action);
  }
}

}  // namespace figmill
