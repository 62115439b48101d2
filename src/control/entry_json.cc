#include <array>

#include "control/config_json.h"

namespace figmill {
namespace detail {
namespace {

std::vector<VersionedName> ReadVersioned(ObjectReader& object, std::string_view name) {
  std::vector<VersionedName> out;
  object.Array(name, [&](const Json& element, const std::string& where) {
    Id<struct NameTag> id;
    Id<struct VersionTag> version;
    ObjectReader reader(element, where, object.status());
    reader.Allow({"name", "version"});
    reader.RequireId("name", id);
    reader.RequireId("version", version);
    out.push_back({id.value, version.value});
  });
  return out;
}

Json WriteVersioned(const std::vector<VersionedName>& names) {
  Json out = Json::array();
  for (const VersionedName& each : names) {
    out.push_back({{"name", each.name}, {"version", each.version}});
  }
  return out;
}

// One kind of entry: its name on the wire, its only field, and the parser of the field.
struct EntryFormat {
  std::string_view order;
  std::string_view field;
  ControlEntry (*read)(const Json&, const std::string&, ParseStatus&);
};

template <typename Tag>
Id<Tag> ReadId(const Json& json, const std::string& where, ParseStatus& status) {
  if (!json.is_string()) {
    status.Fail(where + " must be a string");
    return {};
  }
  const Result<std::string> id = ParseId(json.get_ref<const std::string&>(), where);
  if (IsOk(id)) return {ValueOf(id)};
  status.Fail(ErrorOf(id).detail);
  return {};
}

template <typename Entry, auto kRead>
ControlEntry ReadAs(const Json& json, const std::string& where, ParseStatus& status) {
  return Entry{kRead(json, where, status)};
}

constexpr std::array kEntryFormats = {
    EntryFormat{"put-service", "service", ReadAs<PutService, ReadService>},
    EntryFormat{"remove-service", "name", ReadAs<RemoveService, ReadId<struct ServiceTag>>},
    EntryFormat{"put-limit", "limit", ReadAs<PutLimit, ReadLimit>},
    EntryFormat{"put-backend", "backend", ReadAs<PutBackend, ReadBackend>},
    EntryFormat{"remove-backend", "agent", ReadAs<RemoveBackend, ReadId<struct NodeTag>>},
    EntryFormat{"drain", "node", ReadAs<Drain, ReadId<struct NodeTag>>},
    EntryFormat{"undrain", "node", ReadAs<Undrain, ReadId<struct NodeTag>>},
    EntryFormat{"cancel-job", "job", ReadAs<CancelJob, ReadId<struct JobTag>>},
    EntryFormat{"replace-config", "config", ReadAs<ReplaceConfig, ReadConfig>},
};
// Not in the table above, as it has two fields.
constexpr std::string_view kSetPlacement = "place";

ControlEntry ReadSetPlacement(ObjectReader& object) {
  SetPlacement entry;
  object.Allow({"order", "agent", "placement"});
  object.RequireId("agent", entry.agent);
  if (const Json* placement = object.Require("placement")) {
    entry.placement = ReadPlacement(*placement, object.Path("placement"), object.status());
  }
  return entry;
}

}  // namespace

Placement ReadPlacement(const Json& json, const std::string& where, ParseStatus& status) {
  Placement placement;
  ObjectReader object(json, where, status);
  object.Allow({"models", "adapters", "unwanted_models", "unwanted_adapters", "role"});
  placement.models = ReadVersioned(object, "models");
  placement.adapters = ReadVersioned(object, "adapters");
  placement.unwanted_models = ReadVersioned(object, "unwanted_models");
  placement.unwanted_adapters = ReadVersioned(object, "unwanted_adapters");
  object.Text("role", placement.role);
  return placement;
}

Json WritePlacement(const Placement& placement) {
  return {{"models", WriteVersioned(placement.models)},
          {"adapters", WriteVersioned(placement.adapters)},
          {"unwanted_models", WriteVersioned(placement.unwanted_models)},
          {"unwanted_adapters", WriteVersioned(placement.unwanted_adapters)},
          {"role", placement.role}};
}

ControlEntry ReadEntry(const Json& json, const std::string& where, ParseStatus& status) {
  ObjectReader object(json, where, status);
  std::string order;
  object.RequireText("order", order);
  if (order == kSetPlacement) return ReadSetPlacement(object);
  for (const EntryFormat& format : kEntryFormats) {
    if (format.order != order) continue;
    object.Allow({"order", format.field});
    const Json* field = object.Require(format.field);
    if (field == nullptr) return {};
    return format.read(*field, object.Path(format.field), status);
  }
  status.Fail(where + ": '" + order + "' is not an order");
  return {};
}

Json WriteEntry(const ControlEntry& entry) {
  return std::visit(
      Overloaded{[](const PutService& e) -> Json {
                   return {{"order", "put-service"}, {"service", WriteService(e.service)}};
                 },
                 [](const RemoveService& e) -> Json {
                   return {{"order", "remove-service"}, {"name", e.service.value}};
                 },
                 [](const PutLimit& e) -> Json {
                   return {{"order", "put-limit"}, {"limit", WriteLimit(e.limit)}};
                 },
                 [](const PutBackend& e) -> Json {
                   return {{"order", "put-backend"}, {"backend", WriteBackend(e.backend)}};
                 },
                 [](const RemoveBackend& e) -> Json {
                   return {{"order", "remove-backend"}, {"agent", e.agent.value}};
                 },
                 [](const Drain& e) -> Json {
                   return {{"order", "drain"}, {"node", e.node.value}};
                 },
                 [](const Undrain& e) -> Json {
                   return {{"order", "undrain"}, {"node", e.node.value}};
                 },
                 [](const CancelJob& e) -> Json {
                   return {{"order", "cancel-job"}, {"job", e.job.value}};
                 },
                 [](const SetPlacement& e) -> Json {
                   return {{"order", "place"},
                           {"agent", e.agent.value},
                           {"placement", WritePlacement(e.placement)}};
                 },
                 [](const ReplaceConfig& e) -> Json {
                   return {{"order", "replace-config"}, {"config", WriteConfig(e.config)}};
                 }},
      entry);
}

}  // namespace detail

using detail::Json;
using detail::ObjectReader;
using detail::ParseStatus;

Result<ControlEntry> ParseControlEntry(std::string_view json) {
  return detail::ParseDocument<ControlEntry>(
      json, "the order",
      [](const Json& document, ParseStatus& r) { return detail::ReadEntry(document, "order", r); });
}

std::string ToJson(const ControlEntry& entry) {
  return detail::WriteEntry(entry).dump();
}

Result<LogRecord> ParseLogRecord(std::string_view json) {
  return detail::ParseDocument<LogRecord>(
      json, "the record", [](const Json& document, ParseStatus& r) {
        LogRecord record;
        ObjectReader object(document, "record", r);
        object.Allow({"sequence", "token", "author", "entry"});
        object.RequireNatural("sequence", record.sequence);
        object.RequireText("token", record.token.value);
        object.RequireText("author", record.author);
        if (const Json* entry = object.Require("entry")) {
          record.entry = detail::ReadEntry(*entry, "record.entry", r);
        }
        return record;
      });
}

std::string ToJson(const LogRecord& record) {
  return Json{{"sequence", record.sequence},
              {"token", record.token.value},
              {"author", record.author},
              {"entry", detail::WriteEntry(record.entry)}}
      .dump();
}

std::string Describe(const ControlEntry& entry) {
  return std::visit(
      Overloaded{
          [](const PutService& e) { return "put service " + e.service.name.value; },
          [](const RemoveService& e) { return "remove service " + e.service.value; },
          [](const PutLimit& e) { return "put limit of team " + e.limit.team.value; },
          [](const PutBackend& e) { return "put backend server of " + e.backend.agent.value; },
          [](const RemoveBackend& e) { return "remove backend server of " + e.agent.value; },
          [](const Drain& e) { return "drain " + e.node.value; },
          [](const Undrain& e) { return "undrain " + e.node.value; },
          [](const CancelJob& e) { return "cancel job " + e.job.value; },
          [](const SetPlacement& e) { return "place on " + e.agent.value; },
          [](const ReplaceConfig&) { return std::string("replace the configuration"); }},
      entry);
}

namespace {

enum class SubjectKind : std::uint8_t {
  kService,
  kLimit,
  kBackend,
  kDrain,
  kJob,
  kPlacement,
  kConfig
};
struct Subject {
  SubjectKind kind;
  std::string_view id;
};

Subject SubjectOf(const ControlEntry& entry) {
  using enum SubjectKind;
  return std::visit(Overloaded{[](const PutService& e) {
                                 return Subject{kService, e.service.name.value};
                               },
                               [](const RemoveService& e) {
                                 return Subject{kService, e.service.value};
                               },
                               [](const PutLimit& e) {
                                 return Subject{kLimit, e.limit.team.value};
                               },
                               [](const PutBackend& e) {
                                 return Subject{kBackend, e.backend.agent.value};
                               },
                               [](const RemoveBackend& e) {
                                 return Subject{kBackend, e.agent.value};
                               },
                               [](const Drain& e) {
                                 return Subject{kDrain, e.node.value};
                               },
                               [](const Undrain& e) {
                                 return Subject{kDrain, e.node.value};
                               },
                               [](const CancelJob& e) {
                                 return Subject{kJob, e.job.value};
                               },
                               [](const SetPlacement& e) {
                                 return Subject{kPlacement, e.agent.value};
                               },
                               [](const ReplaceConfig&) {
                                 return Subject{kConfig, {}};
                               }},
                    entry);
}

bool IsPartOfConfig(SubjectKind kind) {
  return kind == SubjectKind::kService || kind == SubjectKind::kLimit ||
         kind == SubjectKind::kBackend || kind == SubjectKind::kConfig;
}

}  // namespace

bool Conflicts(const ControlEntry& one, const ControlEntry& other) {
  const Subject a = SubjectOf(one);
  const Subject b = SubjectOf(other);
  if (a.kind == SubjectKind::kConfig || b.kind == SubjectKind::kConfig) {
    return IsPartOfConfig(a.kind) && IsPartOfConfig(b.kind);
  }
  return a.kind == b.kind && a.id == b.id;
}

}  // namespace figmill
