#include "control/lease_row.h"

#include "control/json.h"

namespace figmill {

using detail::Json;
using detail::ObjectReader;
using detail::ParseStatus;

Result<LeaseRow> ParseLeaseRow(std::string_view json) {
  return detail::ParseDocument<LeaseRow>(
      json, "the lease", [](const Json& document, ParseStatus& r) {
        LeaseRow row;
        ObjectReader object(document, "lease", r);
        object.Allow({"token", "holder", "incarnation", "epoch", "renewals"});
        object.RequireText("token", row.token.value);
        object.RequireText("holder", row.holder.value);
        object.RequireNatural("incarnation", row.incarnation);
        object.RequireNatural("epoch", row.epoch);
        object.RequireNatural("renewals", row.renewals);
        return row;
      });
}

std::string ToJson(const LeaseRow& row) {
  return Json{{"token", row.token.value},
              {"holder", row.holder.value},
              {"incarnation", row.incarnation},
              {"epoch", row.epoch},
              {"renewals", row.renewals}}
      .dump();
}

namespace detail {

std::string LeaseKey(std::string_view name) {
  return "lease/" + std::string(name);
}

std::optional<LeaseRow> LeaseFromRow(const std::optional<Row>& row) {
  if (!row) return std::nullopt;
  Result<LeaseRow> lease = ParseLeaseRow(row->value);
  if (!IsOk(lease)) return std::nullopt;
  return std::move(ValueOf(lease));
}

CommitRows ConditionalLeaseWrite(std::string_view name, RowVersion version, const LeaseRow& row) {
  const std::string key = LeaseKey(name);
  return CommitRows{Transaction{{RowCondition{key, version}}, {PutRow{key, ToJson(row)}}}};
}

}  // namespace detail
}  // namespace figmill
