#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "observe/log_line.h"

namespace figmill {
namespace {

bool IsPlain(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte != 0x7F && c != '"' && c != '=' && c != '\\';
}

void AppendEscaped(std::string& out, char c) {
  const auto byte = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    out += '\\';
    out += c;
  } else if (c == '\n') {
    out += "\\n";
  } else if (byte < 0x20 || byte == 0x7F) {
    std::array<char, 8> code{};
    std::snprintf(code.data(), code.size(), "\\x%02x", byte);
    out += code.data();
  } else {
    out += c;
  }
}

void AppendValue(std::string& out, std::string_view value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    out += value;
    return;
  }
  out += '"';
  for (const char c : value) AppendEscaped(out, c);
  out += '"';
}

// Lines held while the reader is behind. Unit: bytes.
constexpr std::size_t kMaxHeld = 256U << 10;
// What a pipe takes in one write when it says that it takes any.
constexpr std::size_t kMaxWrite = 4096;

// Gives lines to standard output without ever waiting for its reader.
class OutputSink final : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char* /*path*/, const char* /*file*/, int /*line*/,
            const google::LogMessageTime& time, const char* message, std::size_t length) override {
    const std::scoped_lock lock(mutex_);
    const std::size_t before = held_.size();
    if (before >= kMaxHeld) {
      ++dropped_;
      return Flush();
    }
    AppendTime(time);
    held_ += google::GetLogSeverityName(severity)[0];
    held_ += ' ';
    held_.append(message, length);
    held_ += '\n';
    Flush();
  }

  // For what wrote no line at all.
  void CountDropped() {
    const std::scoped_lock lock(mutex_);
    ++dropped_;
  }
  [[nodiscard]] std::uint64_t dropped() {
    const std::scoped_lock lock(mutex_);
    return dropped_;
  }

 private:
  void AppendTime(const google::LogMessageTime& time) {
    const std::time_t seconds = time.timestamp();
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    held_.append(text.data(), size);
    std::snprintf(text.data(), text.size(), ".%06dZ ", time.usec());
    held_ += text.data();
  }

  // A pipe that polls as writable takes kMaxWrite without blocking.
  void Flush() {
    std::size_t written = 0;
    while (written < held_.size()) {
      pollfd out{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0) break;
      const std::size_t size = std::min(kMaxWrite, held_.size() - written);
      const ssize_t done = write(STDOUT_FILENO, held_.data() + written, size);
      if (done <= 0) break;
      written += static_cast<std::size_t>(done);
    }
    held_.erase(0, written);
  }

  std::mutex mutex_;
  std::string held_;
  std::uint64_t dropped_ = 0;
};

OutputSink& Sink() {
  static auto* const kSink = new OutputSink;  // lives as long as glog, which ends after main
  return *kSink;
}

// Lines of one event that may be written now.
class LineBudget {
 public:
  // Nothing: not now. Otherwise how many lines of the event were left out before.
  std::optional<std::uint64_t> Take(std::string_view event) {
    const std::scoped_lock lock(mutex_);
    auto at = budgets_.find(event);
    if (at == budgets_.end()) at = budgets_.emplace(std::string(event), Budget{}).first;
    Budget& budget = at->second;
    const auto now = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - budget.at).count();
    budget.at = now;
    budget.lines = std::min<double>(kLogBurst, budget.lines + seconds * kLogLinesPerSecond);
    if (budget.lines < 1) {
      ++budget.left_out;
      return std::nullopt;
    }
    budget.lines -= 1;
    return std::exchange(budget.left_out, 0);
  }

 private:
  struct Budget {
    double lines = kLogBurst;
    std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now();
    std::uint64_t left_out = 0;
  };
  std::mutex mutex_;
  std::map<std::string, Budget, std::less<>> budgets_;
};

LineBudget& Budgets() {
  static auto* const kBudgets = new LineBudget;
  return *kBudgets;
}

}  // namespace

std::string detail::LogLine(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = "event=";
  AppendValue(line, event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  return line;
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const std::optional<std::uint64_t> left_out = Budgets().Take(event);
  if (!left_out) return Sink().CountDropped();
  std::string line = detail::LogLine(event, fields);
  if (*left_out > 0) line += " left_out_before=" + std::to_string(*left_out);
  switch (level) {
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

std::uint64_t LogLinesDropped() {
  return Sink().dropped();
}

void StartLogging(const char* program, LogLevel least) {
  if (google::IsGoogleLoggingInitialized()) return;
  FLAGS_minloglevel = static_cast<int>(least);
  // Neither files nor standard error: the sink takes all lines.
  for (const google::LogSeverity severity :
       {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
    google::SetLogDestination(severity, "");
  }
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  google::InitGoogleLogging(program);
  google::AddLogSink(&Sink());
}

}  // namespace figmill
