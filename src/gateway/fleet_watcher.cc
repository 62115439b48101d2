#include "gateway/fleet_watcher.h"

#include <algorithm>
#include <utility>

namespace figmill {
namespace {

std::string_view LogEventOf(BackendListChange change) {
  switch (change) {
    case BackendListChange::kRestarted:
      return "backend_restarted";
    case BackendListChange::kOutdated:
      return "backend_outdated";
    case BackendListChange::kNone:
    case BackendListChange::kUpdated:
    case BackendListChange::kServiceMismatch:
      break;
  }
  return "backend_listed";
}

}  // namespace

FleetWatcher::FleetWatcher(Loop& loop, Tables tables, const PlatformAdapter& adapter,
                           Metrics& metrics, std::optional<Duration> revoke_within, Hooks hooks)
    : loop_(loop),
      adapter_(adapter),
      hooks_(std::move(hooks)),
      refused_configs_(metrics, {"config", "config_refused", "row"}),
      refused_backends_(metrics, {"backend", "backend_refused", "backend"}),
      key_lookup_secret_(SystemRandom()()),
      config_(
          loop, tables.config, adapter.config_row().table, {adapter.config_row().part},
          [this](const TableMirror::Change& change) { OnConfig(change); },
          [this] {
            SchedulePublish();
            Confirm();
          }),
      backends_(
          loop, tables.backends, adapter.backend_table(), {""},
          [this](const TableMirror::Change& change) { OnBackend(change); }, [this] { Publish(); }),
      versions_(loop, tables.backends, std::move(tables.members), metrics, SystemRandom(),
                [this] { OnVersions(); }) {
  if (revoke_within) {
    config_.SetWait(
        std::min<Duration>(TableFollower::kWait, *revoke_within / kPollsPerRevocationPeriod));
  }
}

void FleetWatcher::Start(std::function<void()> on_started) {
  versions_.Start(std::move(on_started));
  config_.Start();
  backends_.SetMinInterval(kMinBackendsInterval);
  backends_.Start();
}

// Only a higher version replaces the configuration in force: the row may be overwritten with an
// older configuration, and the mirror may deliver changes late.
void FleetWatcher::OnConfig(const TableMirror::Change& change) {
  if (change.at.key != adapter_.config_row().key || change.row == nullptr) return;
  Result<RoutingConfig> config = adapter_.ParseConfig(change.row->value);
  if (!IsOk(config)) {
    return refused_configs_.Refuse(change.at.key, change.row->version, ErrorOf(config).detail);
  }
  refused_configs_.Clear(change.at.key);
  const std::uint64_t now = view_.routes ? view_.routes->version() : 0;
  const std::uint64_t next = ValueOf(config).version;
  if (view_.routes && next <= now) return;
  Log(LogLevel::kInfo, "config_in_force",
      {{"version", std::to_string(next)},
       {"before", std::to_string(now)},
       {"row_version", std::to_string(change.row->version)}});
  view_.routes = std::make_shared<const RouteTable>(std::move(ValueOf(config)), key_lookup_secret_);
  changed_ = true;
}

void FleetWatcher::OnBackend(const TableMirror::Change& change) {
  const BackendId id{change.at.key};
  if (change.row == nullptr) {
    Log(LogLevel::kInfo, "backend_gone",
        {{"backend", id.value}, {"found_by", change.by_listing ? "list" : "feed"}});
    changed_ |= listed_.erase(id) > 0;
    refused_backends_.Clear(id.value);
    return;
  }
  Result<BackendInfo> info = adapter_.ParseBackend(id.value, change.row->value);
  if (!IsOk(info)) return OnUnreadableBackend(id, change.row->version, ErrorOf(info));
  const BackendIncarnation reported = ValueOf(info).incarnation;
  const BackendListChange list_change = UpdateBackendList(listed_, std::move(ValueOf(info)));
  if (list_change == BackendListChange::kServiceMismatch) {
    const Error error{ErrorKind::kBadRequest,
                      "the row has an earlier incarnation and another service"};
    return OnUnreadableBackend(id, change.row->version, error);
  }
  refused_backends_.Clear(id.value);
  if (list_change == BackendListChange::kNone) return;
  const BackendInfo& current = listed_.at(id);
  Log(LogLevel::kInfo, LogEventOf(list_change),
      {{"backend", id.value},
       {"told_incarnation", std::to_string(reported.number)},
       {"incarnation", std::to_string(current.incarnation.number)},
       {"service", current.service.value},
       {"version", current.version.value},
       {"address", ToString(current.address)},
       {"state", std::string(ToString(current.state))},
       {"row_version", std::to_string(change.row->version)}});
  changed_ |= list_change != BackendListChange::kOutdated;
}

// A row that another writer has corrupted marks the backend server as unreadable. If the last good
// row stayed in force, requests would go to a backend server that may not exist any more. If the
// row were treated as removed, open work there would be dropped and batch items stopped, although
// the backend server most likely still runs them.
void FleetWatcher::OnUnreadableBackend(const BackendId& id, RowVersion version,
                                       const Error& error) {
  refused_backends_.Refuse(id.value, version, error.detail);
  const auto known = listed_.find(id);
  if (known == listed_.end()) return;
  if (std::exchange(known->second.state, BackendState::kUnreadable) != BackendState::kUnreadable) {
    changed_ = true;
  }
}

void FleetWatcher::SchedulePublish() {
  if (!changed_ || std::exchange(publish_scheduled_, true)) return;
  loop_.Later(kPublishDelay, [this] {
    publish_scheduled_ = false;
    Publish();
  });
}

void FleetWatcher::Publish() {
  const bool loaded = backends_.mirror().complete() && versions_.loaded();
  const bool first_list = loaded && !view_.backends_loaded;
  if (!std::exchange(changed_, false) && !first_list) return;
  view_.backends_loaded = loaded;
  view_.backends = versions_.Admit(listed_);
  view_.versions = versions_.history();
  view_.history_followed = versions_.connected();
  view_.incomplete_services = versions_.incomplete();
  hooks_.publish(std::make_shared<const FleetView>(view_));
  Confirm();
}

void FleetWatcher::OnVersions() {
  changed_ = true;
  Publish();
}

void FleetWatcher::Confirm() {
  const std::optional<Duration> at = config_.confirmed_at();
  if (changed_ || !view_.routes || !at || at == last_confirmed_at_) return;
  last_confirmed_at_ = at;
  hooks_.confirmed(*at);
}

}  // namespace figmill
