#include "figmilld/control/control_shell.h"

#include <charconv>
#include <exception>
#include <mutex>
#include <thread>

#include "figmilld/control/control_log_shell.h"
#include "figmilld/traffic/remote_reply.h"

namespace figmill {
namespace {

constexpr Duration kGossipTick{100'000};
constexpr Duration kHeadPoll{500'000};         // by the few readers of a data centre
constexpr Duration kSlowHeadPoll{30'000'000};  // by the rest, should gossip fail them
constexpr Duration kWriterTick{1'000'000};
constexpr Duration kSeedPeriod{1'000'000};       // until a peer has answered
constexpr Duration kSlowSeedPeriod{30'000'000};  // afterwards
constexpr std::size_t kReadersPerDataCentre = 2;
constexpr Duration kPeerTimeout{2'000'000};

std::optional<Sequence> SequenceIn(const std::optional<std::string>& text) {
  Sequence sequence = 0;
  if (!text) return std::nullopt;
  const auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), sequence);
  if (failure != std::errc{} || end != text->data() + text->size()) return std::nullopt;
  return sequence;
}

}  // namespace

class ControlShell::Core {
 public:
  Core(ControlShell& shell, Metrics& metrics, ControlSettings settings)
      : shell_(shell),
        platform_(client_, settings.platform, settings.store_timeout),
        membership_(std::move(settings.self), MembershipSettings{}, SystemRandom()),
        log_({client_, platform_, platform_, metrics,
              [this](const NodeId& node) { return AddressOf(node); }, [this] { FoldMoved(); },
              [this] { shell_.ready_ = true; }}),
        sequence_(metrics.gauge("figmill_control_sequence",
                                "Position in the control log that this process runs on")),
        members_(metrics.gauge("figmill_members", "Members that are alive or suspect")),
        gossip_bytes_(metrics.counter("figmill_gossip_bytes_total",
                                      "Bytes of datagrams sent and received, with headers")),
        gossip_unreadable_(metrics.counter("figmill_gossip_unreadable_total",
                                           "Datagrams dropped because they can't be read")) {}

  ~Core() { Stop(); }

  void Stop() {
    if (!thread_.joinable()) return;
    loop_.Stop();
    thread_.join();
  }

  Result<Ok> Start(std::function<void(Error)> failed) {
    Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(
        loop_, membership_.self().gossip, [this](std::string_view bytes, const Address& from) {
          const std::lock_guard lock(mutex_);
          CarryOut(membership_.OnDatagram(Loop::Now(), bytes, from));
        });
    if (!IsOk(socket)) return ErrorOf(socket);
    socket_ = std::move(ValueOf(socket));
    gossip_timer_ = loop_.Every(kGossipTick, [this] { TickGossip(); });
    writer_timer_ = loop_.Every(kWriterTick, [this] { log_.Tick(); });
    loop_.Post([this] {
      Publish();
      PollHead();
      Seed();
    });
    thread_ = std::thread([this, failed = std::move(failed)] { RunLoop(failed); });
    return Ok{};
  }

  Loop& loop() { return loop_; }
  ControlLogShell& log() { return log_; }

  void SetLeaving() {
    const std::lock_guard lock(mutex_);
    CarryOut(membership_.SetLeaving(Loop::Now()));
  }
  void SetServes(std::vector<ServiceName> serves) {
    const std::lock_guard lock(mutex_);
    CarryOut(membership_.SetServes(Loop::Now(), std::move(serves)));
  }
  void Ask(Sequence sequence) {
    const std::lock_guard lock(mutex_);
    CarryOut(membership_.QuerySequences(Loop::Now(), sequence));
  }
  // Any thread.
  InForceReport InForce(Sequence sequence) {
    const std::lock_guard lock(mutex_);
    return membership_.InForce(sequence);
  }
  std::vector<Member> Members() {
    const std::lock_guard lock(mutex_);
    return membership_.Members();
  }
  Result<std::string> OnFetch(std::string_view have) {
    const std::lock_guard lock(mutex_);
    return membership_.OnFetch(Loop::Now(), have);
  }

 private:
  // Without control state the process would route by what is ever older.
  void RunLoop(const std::function<void(Error)>& failed) {
    try {
      loop_.Run();
    } catch (const std::exception& defect) {
      ToTraffic([failed, why = std::string(defect.what())] {
        failed({ErrorKind::kInternal, "control thread: " + why});
      });
    }
  }

  void TickGossip() {
    const std::lock_guard lock(mutex_);
    CarryOut(membership_.Tick(Loop::Now()));
    const Membership::Counts& counts = membership_.counts();
    const std::uint64_t bytes = counts.bytes_sent + counts.bytes_received;
    gossip_bytes_.Add(bytes - std::exchange(bytes_counted_, bytes));
    gossip_unreadable_.Add(counts.unreadable -
                           std::exchange(unreadable_counted_, counts.unreadable));
  }

  // With mutex_ held. Nothing here calls back into membership_ at once.
  void CarryOut(const std::vector<MembershipAction>& actions) {
    for (const MembershipAction& action : actions) {
      std::visit(Overloaded{
                     [&](const SendDatagram& send) { socket_->Send(send.bytes, send.to); },
                     [&](const PeerAhead& seen) {
                       loop_.Post([this, seen] { log_.Hint(seen.peer, seen.sequence); });
                     },
                     [&](const FetchMembers& fetch) { Fetch(fetch); },
                     [&](const MembersChanged&) { loop_.Post([this] { Publish(); }); },
                     [&](const Superseded& newer) { TellSuperseded(newer); },
                 },
                 action);
    }
  }

  void Fetch(const FetchMembers& fetch) {
    HttpCall call;
    call.method = "POST";
    call.to = fetch.http;
    call.target = "/control/members";
    call.body = fetch.request;
    call.total_timeout = kPeerTimeout;
    client_.Fetch(std::move(call), [this](const Result<HttpResponse>& response) {
      if (!IsOk(response) || ValueOf(response).status != 200) return;
      const std::lock_guard lock(mutex_);
      CarryOut(membership_.OnMembers(Loop::Now(), ValueOf(response).body));
    });
  }

  void TellSuperseded(const Superseded& newer) {
    Log(LogLevel::kError, "superseded", {{"by", std::to_string(newer.by)}});
    ToTraffic([shell = &shell_] {
      if (shell->superseded_) shell->superseded_();
    });
  }

  void FoldMoved() {
    {
      const std::lock_guard lock(mutex_);
      CarryOut(membership_.SetSequence(Loop::Now(), log_.fold()->sequence));
    }
    Publish();
  }

  void Publish() {
    std::vector<Member> members;
    {
      const std::lock_guard lock(mutex_);
      members = membership_.Members();
    }
    sequence_.Set(static_cast<double>(log_.fold()->sequence));
    members_.Set(static_cast<double>(members.size()));
    auto snapshot = std::make_shared<const RoutingSnapshot>(
        MakeRoutingSnapshot(log_.fold(), std::move(members)));
    shell_.snapshot_.store(snapshot);
    ToTraffic([shell = &shell_, snapshot] {
      if (shell->changed_) shell->changed_(snapshot);
    });
  }

  void ToTraffic(std::function<void()> task) {
    shell_.traffic_.Post([alive = std::weak_ptr<bool>(shell_.alive_), task = std::move(task)] {
      if (alive.lock()) task();
    });
  }

  std::optional<Address> AddressOf(const NodeId& node) {
    const std::lock_guard lock(mutex_);
    const std::optional<Member> member = membership_.Find(node);
    return member ? std::optional(member->http) : std::nullopt;
  }

  // A few members of each data centre read the log's head from the store; with all
  // 960 doing so, the store's reads would go to nothing else.
  void PollHead() {
    log_.Poll();
    const bool reader = !shell_.ready() || ReadsForDataCentre();
    poll_timer_ = loop_.After(reader ? kHeadPoll : kSlowHeadPoll, [this] { PollHead(); });
  }

  // The few that read the log's head for their data centre read the host list as
  // often, as nobody else tells an agent that its host is to leave.
  void Seed() {
    platform_.List([this](const Result<std::vector<ListedHost>>& hosts) {
      bool heard = false;
      {
        const std::lock_guard lock(mutex_);
        if (IsOk(hosts)) membership_.SetSeeds(ValueOf(hosts));
        heard = membership_.last_heard().has_value();
      }
      if (IsOk(hosts)) TellLeaving(ValueOf(hosts));
      const Duration period = heard && !ReadsForDataCentre() ? kSlowSeedPeriod : kSeedPeriod;
      seed_timer_ = loop_.After(period, [this] { Seed(); });
    });
  }

  // Repeated while the list says so: the agent forgets it soon after, so that a
  // list that lags can't keep out for long what has been replaced in the slot.
  void TellLeaving(const std::vector<ListedHost>& hosts) {
    for (const ListedHost& host : hosts) {
      const bool ours = host.data_centre == membership_.self().data_centre;
      if (!host.leaving || host.role != "agent" || !ours || !ReadsForDataCentre()) continue;
      CallRpc(client_, host.http, "leave", "{}", kPeerTimeout, [](const Result<std::string>&) {});
    }
  }

  [[nodiscard]] bool ReadsForDataCentre() const {
    return ReadsLogFromStore(membership_.self(), shell_.current()->members, kReadersPerDataCentre);
  }

  ControlShell& shell_;
  Loop loop_;
  HttpClient client_{loop_};
  HttpPlatform platform_;
  // Guards membership_, which the traffic thread asks for InForce.
  std::mutex mutex_;
  Membership membership_;
  ControlLogShell log_;
  std::unique_ptr<UdpSocket> socket_;
  Gauge& sequence_;
  Gauge& members_;
  Counter& gossip_bytes_;
  Counter& gossip_unreadable_;
  std::uint64_t bytes_counted_ = 0;
  std::uint64_t unreadable_counted_ = 0;
  Timer gossip_timer_, writer_timer_, poll_timer_, seed_timer_;
  std::thread thread_;
};

ControlShell::ControlShell(Loop& traffic, Metrics& metrics, ControlSettings settings)
    : traffic_(traffic) {
  RoutingSnapshot nothing =
      MakeRoutingSnapshot(std::make_shared<const ControlState>(), {settings.self});
  snapshot_.store(std::make_shared<const RoutingSnapshot>(std::move(nothing)));
  core_ = std::make_unique<Core>(*this, metrics, std::move(settings));
}

ControlShell::~ControlShell() = default;

Result<Ok> ControlShell::Start(std::function<void(Error)> failed) {
  return core_->Start(std::move(failed));
}

void ControlShell::Stop() {
  core_->Stop();
}

void ControlShell::OnChange(
    std::function<void(const std::shared_ptr<const RoutingSnapshot>&)> changed) {
  changed_ = std::move(changed);
}

void ControlShell::OnSuperseded(std::function<void()> superseded) {
  superseded_ = std::move(superseded);
}

void ControlShell::SetLeaving() {
  core_->loop().Post([this] { core_->SetLeaving(); });
}

void ControlShell::SetServes(std::vector<ServiceName> serves) {
  core_->loop().Post([this, serves = std::move(serves)] { core_->SetServes(serves); });
}

std::shared_ptr<const ControlState> ControlShell::CurrentFold() const {
  return current()->control_state;
}

void ControlShell::Append(ControlEntry entry, std::string author,
                          std::optional<Sequence> if_version, std::optional<Sequence> built_on,
                          std::function<void(Result<Sequence>)> done) {
  auto back = [this, done = std::move(done)](Result<Sequence> outcome) {
    traffic_.Post([done, outcome = std::move(outcome)] { done(outcome); });
  };
  core_->loop().Post(
      [this, entry = std::move(entry), author = std::move(author), if_version, built_on,
       back = std::move(back)] { core_->log().Append(entry, author, if_version, built_on, back); });
}

void ControlShell::AskInForce(Sequence sequence) {
  core_->loop().Post([this, sequence] { core_->Ask(sequence); });
}

std::vector<Member> ControlShell::CurrentMembers() const {
  return core_->Members();
}

InForceReport ControlShell::InForce(Sequence sequence) const {
  return core_->InForce(sequence);
}

void ControlShell::OnRequest(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  const RemoteReply remote(traffic_, std::move(reply));
  if (request.path == "/control/fold") {
    core_->loop().Post([this, remote] { remote.Send(core_->log().WholeFold()); });
    return;
  }
  if (request.path == "/control/entries") {
    const std::optional<Sequence> after = SequenceIn(request.QueryValue("after"));
    if (!after) return remote.Send(ProblemOf({ErrorKind::kBadRequest, "after must be a sequence"}));
    core_->loop().Post(
        [this, remote, after = *after] { remote.Send(core_->log().EntriesAfter(after)); });
    return;
  }
  if (request.path == "/control/members" && request.method == "POST") {
    core_->loop().Post([this, remote, have = std::move(request.body)] {
      Result<std::string> members = core_->OnFetch(have);
      if (!IsOk(members)) return remote.Send(ProblemOf(ErrorOf(members)));
      remote.Send({200, "application/cbor", {}, std::move(ValueOf(members))});
    });
    return;
  }
  remote.Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + request.path}));
}

}  // namespace figmill
