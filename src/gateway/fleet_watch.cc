#include "gateway/fleet_watch.h"

#include <utility>

namespace figmill {

FleetWatch::FleetWatch(Loop& loop, SharedTables& tables, const PlatformAdapter& adapter,
                       std::function<void(std::shared_ptr<const FleetView>)> publish)
    : loop_(loop),
      adapter_(adapter),
      publish_(std::move(publish)),
      config_(
          loop, tables, adapter.config_row().table, {adapter.config_row().part},
          [this](const TableMirror::Change& change) { OnConfig(change); },
          [this] { SchedulePublish(); }),
      backends_(
          loop, tables, adapter.backend_table(), {""},
          [this](const TableMirror::Change& change) { OnBackend(change); }, [this] { Publish(); }) {
}

void FleetWatch::Start() {
  config_.Start();
  backends_.Start();
}

// Only a higher version replaces what is in force: the row may be written anew
// with an older text, and a mirror may hear of it late.
void FleetWatch::OnConfig(const TableMirror::Change& change) {
  if (change.at.key != adapter_.config_row().key || change.row == nullptr) return;
  Result<RoutingConfig> config = adapter_.ParseConfig(change.row->value);
  if (!IsOk(config)) {
    Log(LogLevel::kError, "config_refused",
        {{"row_version", std::to_string(change.row->version)}, {"why", ErrorOf(config).detail}});
    return;
  }
  const std::uint64_t now = view_.routes ? view_.routes->version() : 0;
  const std::uint64_t next = ValueOf(config).version;
  if (view_.routes && next <= now) return;
  Log(LogLevel::kInfo, "config_in_force",
      {{"version", std::to_string(next)},
       {"before", std::to_string(now)},
       {"row_version", std::to_string(change.row->version)}});
  view_.routes = std::make_shared<const RouteTable>(std::move(ValueOf(config)));
  changed_ = true;
}

void FleetWatch::OnBackend(const TableMirror::Change& change) {
  const BackendId id{change.at.key};
  if (change.row == nullptr) {
    Log(LogLevel::kInfo, "backend_gone",
        {{"backend", id.value}, {"found_by", change.by_listing ? "list" : "feed"}});
    changed_ |= view_.backends.erase(id) > 0;
    return;
  }
  Result<BackendInfo> info = adapter_.ParseBackend(id.value, change.row->value);
  if (!IsOk(info)) {
    Log(LogLevel::kError, "backend_refused",
        {{"backend", id.value}, {"why", ErrorOf(info).detail}});
    return;
  }
  BackendInfo& mine = view_.backends[id];
  if (mine == ValueOf(info)) return;
  mine = std::move(ValueOf(info));
  Log(LogLevel::kInfo, "backend_listed",
      {{"backend", id.value},
       {"service", mine.service.value},
       {"address", ToString(mine.address)},
       {"state", mine.state == BackendState::kReady ? "ready" : "draining"},
       {"row_version", std::to_string(change.row->version)}});
  changed_ = true;
}

void FleetWatch::SchedulePublish() {
  if (!changed_ || std::exchange(publish_scheduled_, true)) return;
  loop_.Later(kPublishPause, [this] {
    publish_scheduled_ = false;
    Publish();
  });
}

void FleetWatch::Publish() {
  const bool first_list = backends_.mirror().complete() && !view_.backends_listed;
  if (!std::exchange(changed_, false) && !first_list) return;
  view_.backends_listed = backends_.mirror().complete();
  view_.backends_version = backends_.mirror().version();
  publish_(std::make_shared<const FleetView>(view_));
}

}  // namespace figmill
