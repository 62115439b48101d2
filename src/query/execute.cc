#include "figmill/query.h"

namespace figmill::query {
namespace {

using Done = std::function<void(Result<QueryAnswer>)>;

// Hands a result of one kind on as an answer.
template <typename T, typename Wrap>
std::function<void(Result<T>)> Answering(Done done, Wrap wrap) {
  return [done = std::move(done), wrap = std::move(wrap)](Result<T> result) {
    if (!IsOk(result)) return done(ErrorOf(result));
    done(QueryAnswer(wrap(std::move(ValueOf(result)))));
  };
}

class Executor {
 public:
  Executor(Operations& operations, Done done) : operations_(operations), done_(std::move(done)) {}

  void operator()(const Show& show) {
    const Selection selection = show.selection;
    operations_.Ask(show, Answering<Table>(std::move(done_), [selection](Table table) {
                      return Select(std::move(table), selection);
                    }));
  }
  void operator()(const Order& order) {
    operations_.Carry(order, Answering<Sequence>(std::move(done_), [](Sequence sequence) {
                        return Accepted{sequence};
                      }));
  }
  void operator()(const Await& await) {
    operations_.Await(await.sequence,
                      Answering<Spread>(std::move(done_), [](Spread spread) { return spread; }));
  }
  void operator()(const Help& help) {
    Answering<HelpText>(std::move(done_), [](HelpText text) { return text; })(HelpOn(help));
  }

 private:
  Operations& operations_;
  Done done_;
};

}  // namespace

Result<HelpText> HelpOn(const Help& help) {
  HelpText text;
  for (const StatementHelp& statement : StatementsHelp()) {
    if (statement.usage.starts_with(help.topic)) text.statements.push_back(statement);
  }
  if (!text.statements.empty()) return text;
  return Error{ErrorKind::kNotFound, "no statement starts with '" + help.topic + "'"};
}

void Execute(std::string_view text, Operations& operations, Done done) {
  const std::variant<Statement, SyntaxError> parsed = ParseStatement(text);
  if (const auto* error = std::get_if<SyntaxError>(&parsed)) return done(ToError(*error, text));
  std::visit(Executor(operations, std::move(done)), std::get<Statement>(parsed));
}

}  // namespace figmill::query
