#include "gateway/undecided_losses.h"

#include <utility>

namespace figmill {

std::optional<UndecidedLosses::Cause> UndecidedLosses::CrashIn(const BackendList& listed,
                                                               const LostSend& lost) {
  const auto found = listed.find(lost.backend.id);
  if (found == listed.end()) return Cause::kUnlisted;
  const bool restarted = IsLater(found->second.incarnation, lost.backend.incarnation);
  return restarted ? std::optional(Cause::kRestarted) : std::nullopt;
}

bool UndecidedLosses::Add(LostSend lost, Time detected_at) {
  std::erase_if(losses_,
                [&](const Loss& each) { return detected_at - each.detected_at > kListDelay; });
  if (losses_.size() >= kMaxSends) return false;
  losses_.push_back({std::move(lost), detected_at});
  return true;
}

std::vector<UndecidedLosses::Decision> UndecidedLosses::RecordAnswer(const BackendAddress& process,
                                                                     Time sent_at) {
  std::vector<Decision> decided;
  for (Loss& each : std::exchange(losses_, {})) {
    const BackendAddress& ran_at = each.lost.backend;
    const bool same = ran_at.id == process.id && ran_at.incarnation == process.incarnation;
    if (same && sent_at >= each.detected_at) {
      decided.push_back({std::move(each), Cause::kAnswered});
    } else {
      losses_.push_back(std::move(each));
    }
  }
  return decided;
}

std::vector<UndecidedLosses::Decision> UndecidedLosses::RecordList(const BackendList& listed,
                                                                   Time now) {
  std::vector<Decision> decided;
  for (Loss& each : std::exchange(losses_, {})) {
    if (now - each.detected_at > kListDelay) continue;
    if (const std::optional<Cause> crash = CrashIn(listed, each.lost)) {
      decided.push_back({std::move(each), *crash});
    } else if (listed.at(each.lost.backend.id).state == BackendState::kReady) {
      losses_.push_back(std::move(each));
    }
  }
  return decided;
}

std::string_view ToString(UndecidedLosses::Cause cause) {
  switch (cause) {
    case UndecidedLosses::Cause::kUnlisted:
      return "unlisted";
    case UndecidedLosses::Cause::kRestarted:
      return "restarted";
    case UndecidedLosses::Cause::kAnswered:
      return "answered";
  }
  return "";
}

}  // namespace figmill
