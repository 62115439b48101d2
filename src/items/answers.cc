#include "figmill/items.h"

namespace figmill {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnprocessable = 422;
constexpr int kServerError = 500;

}  // namespace

ItemAnswer ItemAnswerOf(const ItemAnswerHead& head) {
  if (head.not_run || head.status == kMisdirected) return item_answer::NotRun{};
  if (!head.has_our_id) return item_answer::Stray{};
  if (head.status == kOk) return item_answer::Output{};
  if (head.status == kUnprocessable) return item_answer::Impossible{};
  return item_answer::Failed{head.status == kServerError};
}

}  // namespace figmill
