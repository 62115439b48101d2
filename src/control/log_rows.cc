#include "control/log_rows.h"

#include "control/json.h"

namespace figmill::detail {

Result<SnapshotRow> ParseSnapshotRow(std::string_view json) {
  return ParseDocument<SnapshotRow>(json, "the snapshot row",
                                    [](const Json& document, ParseStatus& r) {
                                      SnapshotRow row;
                                      ObjectReader object(document, "snapshot", r);
                                      object.Allow({"token", "sequence", "previous", "deleted"});
                                      object.RequireText("token", row.token.value);
                                      object.RequireNatural("sequence", row.sequence);
                                      object.RequireNatural("previous", row.previous);
                                      object.RequireNatural("deleted", row.deleted);
                                      return row;
                                    });
}

std::string ToJson(const SnapshotRow& row) {
  return Json{{"token", row.token.value},
              {"sequence", row.sequence},
              {"previous", row.previous},
              {"deleted", row.deleted}}
      .dump();
}

std::string SnapshotObjectKey(Sequence sequence) {
  return "fold/" + std::to_string(sequence);
}

}  // namespace figmill::detail
