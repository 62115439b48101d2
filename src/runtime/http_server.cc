#include <fmt/format.h>

#include <cassert>
#include <restinio/all.hpp>
#include <unordered_map>
#include <vector>

#include "figmill/runtime.h"
#include "runtime/loop_core.h"

namespace figmill {
namespace {

// Long enough for a day's batch stream: figmill's own deadlines end a request,
// never RESTinio's.
constexpr auto kNoLimit = std::chrono::hours(24);
constexpr auto kIdleConnection = std::chrono::seconds(75);

class Reply;

// Learns from RESTinio that a connection closed, so that the reply on it can
// tell its owner that the peer went away.
class ConnectionListener {
 public:
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept;
  void Add(restinio::connection_id_t id, const std::shared_ptr<Reply>& reply) {
    replies_.emplace(id, reply);
  }
  void Remove(restinio::connection_id_t id, const Reply* reply);
  void Know(restinio::connection_id_t id, const restinio::impl::connection_handle_t& connection) {
    connections_.emplace(id, connection);
  }
  void Close(restinio::impl::connection_base_t& connection);
  void CloseIdle();
  [[nodiscard]] std::size_t open_replies() const { return replies_.size(); }

 private:
  // A caller may send its next request before it has the answer to the first, so
  // a connection can have two.
  std::unordered_multimap<restinio::connection_id_t, std::weak_ptr<Reply>> replies_;
  std::unordered_map<restinio::connection_id_t, std::weak_ptr<restinio::impl::connection_base_t>>
      connections_;
};

// Closes the connections that the server's owner doesn't want, before anything is read from them.
class ConnectionBlocker {
 public:
  explicit ConnectionBlocker(HttpServer::ConnectionFilter filter) : filter_(std::move(filter)) {}
  [[nodiscard]] restinio::ip_blocker::inspection_result_t inspect(
      const restinio::ip_blocker::incoming_info_t& /*info*/) const noexcept {
    return !filter_ || filter_() ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
  }

 private:
  HttpServer::ConnectionFilter filter_;
};

struct Traits : restinio::default_single_thread_traits_t {
  using ip_blocker_t = ConnectionBlocker;
  using connection_state_listener_t = ConnectionListener;
};
using Server = restinio::http_server_t<Traits>;
using Connection = restinio::impl::connection_t<Traits>;
using Builder = restinio::response_builder_t<restinio::chunked_output_t>;

// RESTinio has no call that closes a connection. Taking the socket out of it, as an
// upgrade to another protocol does, and letting it go closes it.
void CloseNow(restinio::impl::connection_base_t& connection) {
  static_cast<Connection&>(connection).move_upgrade_internals();
}

class Reply final : public HttpReply, public std::enable_shared_from_this<Reply> {
 public:
  Reply(restinio::request_handle_t request, std::shared_ptr<ConnectionListener> listener)
      : request_(std::move(request)),
        connection_(restinio::impl::access_req_connection(*request_)),
        listener_(std::move(listener)) {}

  void Send(HttpResponse response) override {
    if (finished_) return;
    Finish();
    auto builder = request_->create_response(StatusLine(response.status));
    AppendHeaders(builder, response);
    builder.set_body(std::move(response.body));
    builder.done(WhenWritten());
  }

  void Begin(HttpResponse head) override {
    if (finished_) return;
    assert(!builder_);
    builder_ = std::make_unique<Builder>(
        request_->create_response<restinio::chunked_output_t>(StatusLine(head.status)));
    AppendHeaders(*builder_, head);
    if (head.body.empty()) {
      builder_->flush();
    } else {
      Flush(std::move(head.body));
    }
  }

  // RESTinio keeps an object for each piece, so that what comes while one is being written is
  // gathered into the next.
  void Write(std::string bytes) override {
    if (finished_ || bytes.empty()) return;
    assert(builder_);
    if (writing_ == 0) return Flush(std::move(bytes));
    gathered_.append(bytes);
  }

  void End() override {
    if (finished_) return;
    assert(builder_);
    Finish();
    if (!gathered_.empty()) builder_->append_chunk(std::exchange(gathered_, {}));
    builder_->done(WhenWritten());
  }

  void OnClosed(std::function<void()> closed) override { on_closed_ = std::move(closed); }

  void Abort() override {
    if (finished_) return;
    Finish();
    listener_->Remove(request_->connection_id(), this);
    if (const auto connection = connection_.lock()) listener_->Close(*connection);
  }

  [[nodiscard]] std::size_t unsent() const override { return writing_ + gathered_.size(); }

  void ConnectionClosed() {
    if (finished_) return;
    finished_ = true;
    if (const auto closed = std::exchange(on_closed_, nullptr)) closed();
  }

 private:
  template <typename AnyBuilder>
  static void AppendHeaders(AnyBuilder& builder, const HttpResponse& response) {
    if (!response.content_type.empty()) {
      builder.append_header(restinio::http_field::content_type, response.content_type);
    }
    for (const Header& header : response.headers) builder.append_header(header.name, header.value);
    if (response.close) builder.connection_close();
  }

  void Flush(std::string bytes) {
    writing_ = bytes.size();
    builder_->append_chunk(std::move(bytes));
    builder_->flush([weak = weak_from_this()](const auto& /*failure*/) {
      if (const auto self = weak.lock()) self->OnFlushed();
    });
  }

  void OnFlushed() {
    writing_ = 0;
    if (!finished_ && !gathered_.empty()) Flush(std::exchange(gathered_, {}));
  }

  static restinio::http_status_line_t StatusLine(int status) {
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, ReasonOf(status)};
  }
  static std::string ReasonOf(int status) {
    if (status < 300) return "OK";
    return status < 500 ? "Refused" : "Failed";
  }
  void Finish() {
    finished_ = true;
    on_closed_ = nullptr;
  }
  // The answer's last bytes may wait for the peer long after the reply has ended. Until
  // they are out the connection is in use: closed as an idle one, it would cut them.
  restinio::write_status_cb_t WhenWritten() {
    return [self = shared_from_this()](const asio::error_code& /*failure*/) {
      self->listener_->Remove(self->request_->connection_id(), self.get());
    };
  }

  restinio::request_handle_t request_;
  // Of its own: the request gives its connection away to the first builder, and an
  // answer that breaks off after its head would find none to close.
  std::weak_ptr<restinio::impl::connection_base_t> connection_;
  std::shared_ptr<ConnectionListener> listener_;
  std::unique_ptr<Builder> builder_;
  std::function<void()> on_closed_;
  std::size_t writing_ = 0;  // bytes of the piece that is being written
  std::string gathered_;     // of the next one
  bool finished_ = false;
};

void ConnectionListener::state_changed(
    const restinio::connection_state::notice_t& notice) noexcept {
  if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) return;
  connections_.erase(notice.connection_id());
  const auto [first, last] = replies_.equal_range(notice.connection_id());
  std::vector<std::shared_ptr<Reply>> open;
  for (auto at = first; at != last; ++at) {
    if (std::shared_ptr<Reply> reply = at->second.lock()) open.push_back(std::move(reply));
  }
  replies_.erase(first, last);
  for (const std::shared_ptr<Reply>& reply : open) reply->ConnectionClosed();
}

void ConnectionListener::Remove(restinio::connection_id_t id, const Reply* reply) {
  const auto [first, last] = replies_.equal_range(id);
  for (auto at = first; at != last; ++at) {
    if (at->second.lock().get() != reply) continue;
    replies_.erase(at);
    return;
  }
}

void ConnectionListener::Close(restinio::impl::connection_base_t& connection) {
  connections_.erase(connection.connection_id());
  CloseNow(connection);
}

void ConnectionListener::CloseIdle() {
  std::vector<std::shared_ptr<restinio::impl::connection_base_t>> idle;
  for (const auto& [id, connection] : connections_) {
    if (replies_.contains(id)) continue;
    if (auto open = connection.lock()) idle.push_back(std::move(open));
  }
  for (const auto& connection : idle) Close(*connection);
}

HttpRequest Converted(const restinio::request_handle_t& request) {
  HttpRequest converted;
  const auto& head = request->header();
  converted.method = head.method().c_str();
  converted.path = std::string(head.path());
  converted.query = std::string(head.query());
  head.for_each_field([&converted](const restinio::http_header_field_t& field) {
    converted.headers.push_back({field.name(), field.value()});
  });
  converted.body = request->body();
  return converted;
}

class RestinioServer final : public HttpServer {
 public:
  RestinioServer(Loop& loop, const Address& at, HttpHandler handler, ConnectionFilter filter)
      : listener_(std::make_shared<ConnectionListener>()),
        handler_(std::move(handler)),
        server_(restinio::external_io_context(loop.core().io), [&](auto& settings) {
          settings.address(at.host)
              .port(at.port)
              .connection_state_listener(listener_)
              .ip_blocker(std::make_shared<ConnectionBlocker>(filter))
              .acceptor_options_setter([](restinio::acceptor_options_t& options) {
                options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
              })
              .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
                const auto endpoint = acceptor.local_endpoint();
                address_ = Address{endpoint.address().to_string(), endpoint.port()};
              })
              .socket_options_setter([](restinio::socket_options_t& options) {
                options.set_option(asio::ip::tcp::no_delay(true));
              })
              .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                            .max_url_size(8192)
                                            .max_field_name_size(256)
                                            .max_field_value_size(16384)
                                            .max_body_size(kMaxBodyBytes + kBodySlack))
              .separate_accept_and_create_connect(false)
              .buffer_size(kReadBufferBytes)
              // RESTinio reads on while a slot is free, and only so notices a peer
              // that closes: one request runs, a second may wait.
              .max_pipelined_requests(kPipelinedRequests)
              .read_next_http_message_timelimit(kIdleConnection)
              .handle_request_timeout(kNoLimit)
              .write_http_response_timelimit(kNoLimit)
              .request_handler([this](restinio::request_handle_t request) {
                return Handle(std::move(request));
              });
        }) {}

  ~RestinioServer() override { server_.close_sync(); }

  void Open() { server_.open_sync(); }
  [[nodiscard]] Address address() const override { return address_; }
  void StopAccepting() override { server_.close_sync(); }
  void CloseIdle() override { listener_->CloseIdle(); }
  [[nodiscard]] std::size_t open_replies() const override { return listener_->open_replies(); }

 private:
  // Lets a body slightly over the limit in, so that it gets a problem document
  // in place of a closed connection.
  static constexpr std::size_t kBodySlack = 1U << 20;
  static constexpr std::size_t kReadBufferBytes = 4096;
  static constexpr std::size_t kPipelinedRequests = 4;

  restinio::request_handling_status_t Handle(restinio::request_handle_t request) {
    auto reply = std::make_shared<Reply>(request, listener_);
    listener_->Add(request->connection_id(), reply);
    listener_->Know(request->connection_id(), restinio::impl::access_req_connection(*request));
    if (request->body().size() > kMaxBodyBytes) {
      reply->Send(ProblemOf(Error{ErrorKind::kTooLarge,
                                  "the body has " + std::to_string(request->body().size()) +
                                      " bytes, the limit is " + std::to_string(kMaxBodyBytes)}));
      return restinio::request_accepted();
    }
    handler_(Converted(request), std::move(reply));
    return restinio::request_accepted();
  }

  std::shared_ptr<ConnectionListener> listener_;
  HttpHandler handler_;
  Address address_;
  Server server_;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(Loop& loop, const Address& at,
                                                       HttpHandler handler,
                                                       ConnectionFilter filter) {
  auto server = std::make_unique<RestinioServer>(loop, at, std::move(handler), std::move(filter));
  try {
    server->Open();
  } catch (const std::exception& failure) {
    return Error{ErrorKind::kInternal, "can't listen on " + ToString(at) + ": " + failure.what()};
  }
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace figmill
