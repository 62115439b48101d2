#include "figmill/items.h"

namespace figmill {
namespace {

constexpr int kOk = 200;
constexpr int kUnprocessable = 422;
constexpr int kServerError = 500;

}  // namespace

ItemAnswer ItemAnswerOf(const ItemAnswerHead& head) {
  const bool not_run = head.not_run || head.status == kMisdirected;
  if (!BelongsToRequest(head.id, not_run)) return item_answer::WrongRequest{};
  if (not_run) return item_answer::NotRun{head.status == kMisdirected};
  if (head.status == kOk) return item_answer::Output{};
  if (head.status == kUnprocessable) return item_answer::Unprocessable{};
  return item_answer::Failed{head.status == kServerError};
}

}  // namespace figmill
