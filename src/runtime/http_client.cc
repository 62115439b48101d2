#include <curl/curl.h>

#include <asio/posix/stream_descriptor.hpp>
#include <cassert>
#include <unordered_map>

#include "figmill/runtime.h"
#include "runtime/loop_core.h"
#include "runtime/response_head.h"

namespace figmill {
namespace {

using detail::ResponseHeadReader;

constexpr long kMaxIdleConnections = 256;

// A socket that curl asked us to watch. Asio only watches it; curl owns it.
struct Watch : std::enable_shared_from_this<Watch> {
  Watch(asio::io_context& io, curl_socket_t fd) : descriptor(io, fd) {}
  ~Watch() { descriptor.release(); }
  asio::posix::stream_descriptor descriptor;
  int wanted = 0;  // CURL_POLL_IN, _OUT
  bool reading = false;
  bool writing = false;
  bool removed = false;
};

void InitCurlOnce() {
  static const CURLcode kDone = curl_global_init(CURL_GLOBAL_DEFAULT);
  assert(kDone == CURLE_OK);
  (void)kDone;
}

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Whether the answer shows its end by itself: by its length or chunks, or as it has no body.
bool IsFramed(const HttpHead& head, std::string_view method) {
  if (method == "HEAD" || head.status == kNoContent || head.status == kNotModified) return true;
  return !head.HeaderOr("Content-Length").empty() || !head.HeaderOr("Transfer-Encoding").empty();
}

}  // namespace

class HttpClient::Impl {
  struct SlistDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };

  // One call in flight.
  struct Transfer {
    Impl* impl = nullptr;
    CURL* easy = nullptr;
    HttpCall call;
    std::string url;
    std::unique_ptr<curl_slist, SlistDeleter> headers;
    std::function<void(HttpEvent)> on_event;
    ResponseHeadReader head_reader;
    bool head_told = false;
    std::size_t body_bytes = 0;
    std::string_view refused;  // why the answer is none; empty if it may be one
    bool framed = false;
    bool sent = false;  // on any connection: curl sends again by itself
    bool cancelled = false;
  };

 public:
  explicit Impl(Loop& loop)
      : loop_(loop), io_(loop.core().io), alive_(std::make_shared<bool>(true)) {
    InitCurlOnce();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~Impl() {
    *alive_ = false;
    for (auto& [easy, transfer] : transfers_) {
      curl_multi_remove_handle(multi_, easy);
      curl_easy_cleanup(easy);
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
  }

  CancelCall Start(HttpCall call, std::function<void(HttpEvent)> on_event) {
    auto transfer = std::make_shared<Transfer>();
    transfer->call = std::move(call);
    transfer->on_event = std::move(on_event);
    transfer->easy = curl_easy_init();
    Prepare(*transfer);
    transfers_[transfer->easy] = transfer;
    transfer->impl = this;
    Add(transfer);
    return [this, alive = std::weak_ptr<bool>(alive_), weak = std::weak_ptr<Transfer>(transfer)] {
      const auto still = alive.lock();
      const auto target = weak.lock();
      if (still && *still && target) Cancel(target);
    };
  }

 private:
  static void Prepare(Transfer& transfer) {
    CURL* easy = transfer.easy;
    const HttpCall& call = transfer.call;
    transfer.url = "http://" + ToString(call.to) + call.target;
    curl_easy_setopt(easy, CURLOPT_URL, transfer.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    // Each header as the caller set it; curl would hold a large body back for
    // a second to wait for "100 Continue".
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const Header& header : call.headers) {
      list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
    }
    transfer.headers.reset(list);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
    }
    if (call.method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    PrepareTimeouts(easy, call);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Impl::OnConnected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  }

  static void PrepareTimeouts(CURL* easy, const HttpCall& call) {
    const auto milliseconds = [](Duration d) {
      return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(d).count());
    };
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(call.connect_timeout));
    if (call.total_timeout.count() > 0) {
      curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, milliseconds(call.total_timeout));
    }
    if (call.idle_timeout.count() > 0) {
      const auto seconds = std::chrono::ceil<std::chrono::seconds>(call.idle_timeout).count();
      curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, static_cast<long>(seconds));
    }
    if (call.fresh_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
  }

  // curl refuses new handles from inside its callbacks, where an answer often
  // prompts the next call: then the handle is added right after.
  void Add(const std::shared_ptr<Transfer>& transfer) {
    if (!in_callback_) {
      curl_multi_add_handle(multi_, transfer->easy);
      return;
    }
    loop_.Post([this, alive = std::weak_ptr<bool>(alive_), transfer] {
      const auto still = alive.lock();
      if (still && *still && transfer->easy != nullptr) {
        curl_multi_add_handle(multi_, transfer->easy);
      }
    });
  }

  static void Tell(Transfer& transfer, HttpEvent event) {
    if (transfer.cancelled) return;
    transfer.impl->in_callback_ = true;
    transfer.on_event(std::move(event));
    transfer.impl->in_callback_ = false;
  }

  void Cancel(const std::shared_ptr<Transfer>& transfer) {
    if (std::exchange(transfer->cancelled, true)) return;
    // curl forbids removing a handle from inside its callbacks.
    loop_.Post([this, alive = std::weak_ptr<bool>(alive_), transfer] {
      const auto still = alive.lock();
      if (still && *still) Remove(transfer->easy);
    });
  }

  void Remove(CURL* easy) {
    const auto found = transfers_.find(easy);
    if (found == transfers_.end()) return;
    const std::shared_ptr<Transfer> keep = found->second;
    transfers_.erase(found);
    curl_multi_remove_handle(multi_, easy);
    curl_easy_cleanup(easy);
    keep->easy = nullptr;
  }

  // There is a connection, and the request goes out on it next. When a pooled one
  // breaks before any answer, curl sends again on a new one; if that can't be made,
  // its error says "couldn't connect" of a request that the peer may have run.
  static int OnConnected(void* user, char*, char*, int, int) {
    static_cast<Transfer*>(user)->sent = true;
    return CURL_PREREQFUNC_OK;
  }

  // curl calls it for each line of a head or a trailer, and stops if it returns another size.
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* user) {
    auto& transfer = *static_cast<Transfer*>(user);
    const std::string_view line(data, size * count);
    const bool sound = transfer.head_told ? IsTrailerLine(line) : ReadHead(transfer, line);
    if (!sound) transfer.refused = "malformed response";
    return sound ? line.size() : 0;
  }

  static bool IsTrailerLine(std::string_view line) {
    while (line.ends_with('\n') || line.ends_with('\r')) line.remove_suffix(1);
    return line.empty() || detail::ParseFieldLine(line);
  }

  static bool ReadHead(Transfer& transfer, std::string_view line) {
    const ResponseHeadReader::State state = transfer.head_reader.Feed(line);
    if (state == ResponseHeadReader::State::kComplete) TellHead(transfer);
    return state != ResponseHeadReader::State::kMalformed;
  }

  static void TellHead(Transfer& transfer) {
    transfer.head_told = true;
    HttpHead head = transfer.head_reader.TakeHead();
    transfer.framed = IsFramed(head, transfer.call.method);
    Tell(transfer, std::move(head));
  }

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* user) {
    auto& transfer = *static_cast<Transfer*>(user);
    const std::string_view bytes(data, size * count);
    transfer.body_bytes += bytes.size();
    const std::size_t limit = transfer.call.max_body_bytes;
    if (limit > 0 && transfer.body_bytes > limit) {
      transfer.refused = "the body is longer than the call allows";
      return 0;
    }
    Tell(transfer, HttpBytes{bytes});
    return bytes.size();
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* user, void* socket_data) {
    auto& self = *static_cast<Impl*>(user);
    if (what == CURL_POLL_REMOVE) {
      self.Unwatch(fd);
      return 0;
    }
    auto& watch = self.watches_[fd];
    if (!watch) watch = std::make_shared<Watch>(self.io_, fd);
    (void)socket_data;
    watch->wanted = what;
    self.Await(watch);
    return 0;
  }

  void Unwatch(curl_socket_t fd) {
    const auto found = watches_.find(fd);
    if (found == watches_.end()) return;
    const std::shared_ptr<Watch> watch = found->second;
    watches_.erase(found);
    watch->removed = true;
    // Curl may close the number at once and get it again for another
    // connection: let go of it now, not when the last callback has run.
    watch->descriptor.release();
  }

  void Await(const std::shared_ptr<Watch>& watch) {
    if ((watch->wanted & CURL_POLL_IN) != 0 && !watch->reading) {
      watch->reading = true;
      watch->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                   Ready(watch, CURL_CSELECT_IN, &Watch::reading));
    }
    if ((watch->wanted & CURL_POLL_OUT) != 0 && !watch->writing) {
      watch->writing = true;
      watch->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                   Ready(watch, CURL_CSELECT_OUT, &Watch::writing));
    }
  }

  std::function<void(const asio::error_code&)> Ready(const std::shared_ptr<Watch>& watch, int mask,
                                                     bool Watch::*flag) {
    return [this, alive = std::weak_ptr<bool>(alive_), watch, mask,
            flag](const asio::error_code& failure) {
      const auto still = alive.lock();
      if (!still || !*still) return;
      (*watch).*flag = false;
      if (watch->removed || failure == asio::error::operation_aborted) return;
      Act(watch->descriptor.native_handle(), failure ? CURL_CSELECT_ERR : mask);
      if (!watch->removed) Await(watch);
    };
  }

  static int OnTimer(CURLM*, long timeout_ms, void* user) {
    auto& self = *static_cast<Impl*>(user);
    if (timeout_ms < 0) {
      self.timer_.Reset();
      return 0;
    }
    self.timer_ = self.loop_.After(std::chrono::milliseconds(timeout_ms),
                                   [&self] { self.Act(CURL_SOCKET_TIMEOUT, 0); });
    return 0;
  }

  void Act(curl_socket_t fd, int mask) {
    int running = 0;
    curl_multi_socket_action(multi_, fd, mask, &running);
    CollectFinished();
  }

  void CollectFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      Finish(message->easy_handle, message->data.result);
    }
  }

  void Finish(CURL* easy, CURLcode code) {
    const auto found = transfers_.find(easy);
    if (found == transfers_.end()) return;
    const std::shared_ptr<Transfer> transfer = found->second;
    const HttpEvent last = LastEvent(code, *transfer);
    Remove(easy);
    if (!std::exchange(transfer->cancelled, true)) transfer->on_event(last);
  }

  static HttpEvent LastEvent(CURLcode code, const Transfer& transfer) {
    if (code == CURLE_OK && transfer.head_told) return HttpEnd{.by_close = !transfer.framed};
    HttpFailure failure;
    failure.timed_out = code == CURLE_OPERATION_TIMEDOUT;
    failure.why = curl_easy_strerror(code);
    // To curl a connection that is closed inside the head ends the answer.
    if (code == CURLE_OK) failure.why = "the answer ended inside its head";
    if (!transfer.refused.empty()) failure.why = transfer.refused;
    failure.sent = transfer.sent;
    return failure;
  }

  Loop& loop_;
  asio::io_context& io_;
  std::shared_ptr<bool> alive_;
  CURLM* multi_ = nullptr;
  std::unordered_map<CURL*, std::shared_ptr<Transfer>> transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> watches_;
  Timer timer_;
  bool in_callback_ = false;
};

HttpClient::HttpClient(Loop& loop) : impl_(std::make_unique<Impl>(loop)) {}
HttpClient::~HttpClient() = default;

CancelCall HttpClient::Start(HttpCall call, std::function<void(HttpEvent)> on_event) {
  return impl_->Start(std::move(call), std::move(on_event));
}

CancelCall HttpClient::Fetch(HttpCall call, std::function<void(Result<HttpResponse>)> done) {
  if (call.max_body_bytes == 0) call.max_body_bytes = kMaxFetchedBytes;
  return Start(std::move(call), [collect = CollectAnswer(std::move(done))](HttpEvent event) {
    const auto* end = std::get_if<HttpEnd>(&event);
    if (end != nullptr && end->by_close) {
      event = HttpFailure{.why = "nothing but the close of its connection ended the answer"};
    }
    collect(std::move(event));
  });
}

}  // namespace figmill
