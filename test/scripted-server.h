#pragma once

// A server that answers the requests on each connection from a script, byte for byte.

#include <sys/socket.h>

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "figmill/base.h"

namespace figmill::fake {

// How a connection handles a request: it sends a response, and optionally closes or sends more
// bytes after a delay.
struct ScriptStep {
  std::string answer;
  bool close = false;
  std::string late_bytes = {};
};

class ScriptedServer {
 public:
  static constexpr std::chrono::milliseconds kLateDelay{20};

  // A request has been read once it contains `request_end`.
  explicit ScriptedServer(std::vector<std::vector<ScriptStep>> script,
                          std::string request_end = "\r\n\r\nx")
      : request_end_(std::move(request_end)),
        acceptor_(io_, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)),
        script_(std::move(script)),
        thread_([this] { Serve(); }) {}
  ~ScriptedServer() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);  // interrupts a blocked accept
    thread_.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  [[nodiscard]] int requests() const { return requests_; }
  // The last request that was read; after a response to it only.
  [[nodiscard]] const std::string& last_request() const { return last_request_; }

 private:
  void Serve() {
    std::vector<asio::ip::tcp::socket> open;
    for (const std::vector<ScriptStep>& steps : script_) {
      asio::ip::tcp::socket socket(io_);
      asio::error_code failure;
      acceptor_.accept(socket, failure);
      if (failure) return;
      if (ServeOne(socket, steps)) open.push_back(std::move(socket));
    }
  }

  // Returns whether the connection stays open.
  bool ServeOne(asio::ip::tcp::socket& socket, const std::vector<ScriptStep>& steps) {
    for (const ScriptStep& step : steps) {
      asio::error_code failure;
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), request_end_, failure);
      if (failure) return false;
      last_request_ = request;
      ++requests_;
      asio::write(socket, asio::buffer(step.answer), failure);
      if (!step.late_bytes.empty()) {
        std::this_thread::sleep_for(kLateDelay);
        asio::write(socket, asio::buffer(step.late_bytes), failure);
      }
      if (step.close) return false;
    }
    return true;
  }

  std::string request_end_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::vector<ScriptStep>> script_;
  std::string last_request_;
  std::atomic<int> requests_{0};
  std::thread thread_;
};

}  // namespace figmill::fake
