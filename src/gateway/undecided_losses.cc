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
  return Drop(Cause::kAnswered, [&](const Loss& each) {
    const BackendAddress& ran_at = each.lost.backend;
    const bool same = ran_at.id == process.id && ran_at.incarnation == process.incarnation;
    return same && sent_at >= each.detected_at;
  });
}

std::vector<UndecidedLosses::Decision> UndecidedLosses::RecordCompletion(
    const Fingerprint& request) {
  return Drop(Cause::kCompleted,
              [&](const Loss& each) { return each.lost.suspects.front() == request; });
}

template <typename Matches>
std::vector<UndecidedLosses::Decision> UndecidedLosses::Drop(Cause cause, Matches matches) {
  std::vector<Decision> dropped;
  for (Loss& each : std::exchange(losses_, {})) {
    if (matches(each)) {
      dropped.push_back({std::move(each), cause});
    } else {
      losses_.push_back(std::move(each));
    }
  }
  return dropped;
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
    case UndecidedLosses::Cause::kCompleted:
      return "completed";
  }
  return "";
}

}  // namespace figmill
