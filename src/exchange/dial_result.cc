#include "figmill/exchange.h"

namespace figmill {

std::string_view ToString(DialResult result) {
  switch (result) {
    case DialResult::kConnected:
      return "connected";
    case DialResult::kRefused:
      return "refused";
    case DialResult::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace figmill
