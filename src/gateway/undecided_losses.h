#pragma once

// Lost sends at whose backend servers something still accepts connections, so that only the list of
// backend servers can show that they crashed.
// No I/O: the caller passes the time in.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "gateway/fleet_view.h"
#include "gateway/lost_send.h"

namespace figmill {

class UndecidedLosses {
 public:
  // A backend server that crashed leaves the list, or is listed with a later incarnation, within
  // this time.
  static constexpr Duration kListDelay{5'000'000};
  // Limit on the sends that are kept.
  static constexpr std::size_t kMaxSends = 1000;

  enum class Cause : std::uint8_t {
    kUnlisted,   // the backend server crashed: it is not listed any more
    kRestarted,  // the same: it is listed with a later incarnation
    kAnswered,   // it answered a request that was sent after the loss
    kCompleted,  // the request has been completed since
  };
  struct Loss {
    LostSend lost;
    Time detected_at{};
  };
  struct Decision {
    Loss loss;
    Cause cause;
  };

  // The crash that the list shows of the process of this send; nullopt: none.
  [[nodiscard]] static std::optional<Cause> CrashIn(const BackendList& listed,
                                                    const LostSend& lost);
  // Returns false if there are too many.
  [[nodiscard]] bool Add(LostSend lost, Time detected_at);
  // A response has begun to a request that was sent to this process at `sent_at`. Sends that were
  // lost before were not lost by a crash of the process.
  [[nodiscard]] std::vector<Decision> RecordAnswer(const BackendAddress& process, Time sent_at);
  // A request has been completed, so that its earlier losses say nothing against it.
  [[nodiscard]] std::vector<Decision> RecordCompletion(const Fingerprint& request);
  // Call it with each list.
  [[nodiscard]] std::vector<Decision> RecordList(const BackendList& listed, Time now);

  [[nodiscard]] bool empty() const { return losses_.empty(); }

 private:
  // Takes out the losses for which `matches` is true.
  template <typename Matches>
  std::vector<Decision> Drop(Cause cause, Matches matches);

  std::vector<Loss> losses_;  // by time of detection
};

[[nodiscard]] std::string_view ToString(UndecidedLosses::Cause cause);

}  // namespace figmill
