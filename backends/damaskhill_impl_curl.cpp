// Index of this file:
// [SECTION] Transfers
// [SECTION] Thread
// [SECTION] Client

#include "damaskhill_impl_curl.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <curl/curl.h>

namespace damaskhill {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Transfers
//-----------------------------------------------------------------------------

// Handlers of active calls. Accessed on the loop only; shared with callbacks that are already posted to it.
using call_handlers_by_id = std::unordered_map<std::uint64_t, http_call_handlers>;

struct transfer {
    std::uint64_t call_id{};
    http_call call;
    bool streaming{};
    CURL* easy{};
    curl_slist* headers{};
    response_head_check head_check;
    http_result result;
    event_loop* loop{};
    std::shared_ptr<call_handlers_by_id> handlers;

    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    transfer(transfer&&) = delete;
    transfer& operator=(transfer&&) = delete;
    ~transfer() {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }
};

void read_status(transfer& t) {
    long status = 0;
    curl_easy_getinfo(t.easy, CURLINFO_RESPONSE_CODE, &status);
    t.result.status = static_cast<std::uint32_t>(status);
    const char* type = nullptr;
    curl_easy_getinfo(t.easy, CURLINFO_CONTENT_TYPE, &type);
    t.result.content_type = type == nullptr ? "" : type;
}

std::size_t on_write(char* data, std::size_t size, std::size_t count, void* context) {
    auto& t = *static_cast<transfer*>(context);
    const std::size_t bytes = size * count;
    if (!t.streaming) {
        constexpr std::size_t max_body_bytes = 8U << 20U; // values of the platform are at most 1 MB
        if (t.result.body.size() + bytes > max_body_bytes) return 0;
        t.result.body.append(data, bytes);
        return bytes;
    }
    read_status(t);
    t.loop->post([handlers = t.handlers, call_id = t.call_id, status = t.result.status,
                  type = t.result.content_type, text = std::string{data, bytes}]() mutable {
        const auto found = handlers->find(call_id);
        if (found != handlers->end()) found->second.on_data(status, type, std::move(text));
    });
    return bytes;
}

/// Called for each line of a head, and of a trailer, which is ignored. Ends the transfer if it returns 0.
std::size_t on_header(char* data, std::size_t size, std::size_t count, void* context) {
    auto& t = *static_cast<transfer*>(context);
    const std::string_view line{data, size * count};
    const bool is_trailer = t.head_check.is_complete() && !line.starts_with("HTTP/");
    return is_trailer || t.head_check.accept(line) ? line.size() : 0;
}

void prepare(transfer& t) {
    t.easy = curl_easy_init();
    for (const auto& [name, value] : t.call.headers) {
        std::string line = name;
        line.append(": ").append(value);
        t.headers = curl_slist_append(t.headers, line.c_str());
    }
    // Removes the Expect header, with which libcurl would wait for 100 Continue before it sends a large body.
    t.headers = curl_slist_append(t.headers, "Expect:");
    curl_easy_setopt(t.easy, CURLOPT_URL, t.call.url.c_str());
    curl_easy_setopt(t.easy, CURLOPT_CUSTOMREQUEST, t.call.method.c_str());
    curl_easy_setopt(t.easy, CURLOPT_HTTPHEADER, t.headers);
    if (!t.call.body.empty() || t.call.method == "POST" || t.call.method == "PUT") {
        curl_easy_setopt(t.easy, CURLOPT_POSTFIELDS, t.call.body.data());
        curl_easy_setopt(t.easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(t.call.body.size()));
    }
    curl_easy_setopt(t.easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(t.easy, CURLOPT_HEADERDATA, &t);
    curl_easy_setopt(t.easy, CURLOPT_WRITEFUNCTION, on_write);
    curl_easy_setopt(t.easy, CURLOPT_WRITEDATA, &t);
    curl_easy_setopt(t.easy, CURLOPT_PRIVATE, &t);
    curl_easy_setopt(t.easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(t.easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(t.easy, CURLOPT_TCP_NODELAY, 1L);
    // libcurl resends a request when a reused connection turns out to be dead. Only the core may decide to
    // retry a request that may have been executed, so requests other than GET use a new connection.
    if (t.call.method != "GET") curl_easy_setopt(t.easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(t.easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(to_milliseconds(t.call.connect_timeout)));
    curl_easy_setopt(t.easy, CURLOPT_TIMEOUT_MS, static_cast<long>(to_milliseconds(t.call.timeout)));
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Thread
//-----------------------------------------------------------------------------

struct http_client::implementation {
    explicit implementation(event_loop& l) : loop(l), multi(curl_multi_init()) {}

    void run();
    void apply_commands();
    void finish(CURL* easy, CURLcode code);

    event_loop& loop;
    CURLM* multi;
    std::shared_ptr<call_handlers_by_id> handlers{std::make_shared<call_handlers_by_id>()};
    std::uint64_t next_call_id{1};
    std::atomic<bool> stopping{false};
    std::mutex mutex; // protects pending_transfers and pending_cancels
    std::vector<std::unique_ptr<transfer>> pending_transfers;
    std::vector<std::uint64_t> pending_cancels;
    std::map<std::uint64_t, std::unique_ptr<transfer>> active; // accessed by the transfer thread only
    std::thread thread;
};

void http_client::implementation::apply_commands() {
    std::vector<std::unique_ptr<transfer>> new_transfers;
    std::vector<std::uint64_t> cancelled_calls;
    {
        const std::lock_guard lock{mutex};
        new_transfers.swap(pending_transfers);
        cancelled_calls.swap(pending_cancels);
    }
    for (auto& t : new_transfers) {
        prepare(*t);
        curl_multi_add_handle(multi, t->easy);
        const std::uint64_t call_id = t->call_id;
        active.emplace(call_id, std::move(t));
    }
    for (const std::uint64_t call_id : cancelled_calls) {
        const auto found = active.find(call_id);
        if (found == active.end()) continue;
        curl_multi_remove_handle(multi, found->second->easy);
        active.erase(found);
    }
}

void http_client::implementation::finish(CURL* easy, CURLcode code) {
    transfer* t = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &t);
    read_status(*t);
    long request_bytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    t->result.transport_ok = code == CURLE_OK;
    t->result.timed_out = code == CURLE_OPERATION_TIMEDOUT;
    t->result.sent = request_bytes > 0;
    curl_multi_remove_handle(multi, easy);
    loop.post([shared = handlers, call_id = t->call_id, result = std::move(t->result)]() mutable {
        const auto found = shared->find(call_id);
        if (found == shared->end()) return;
        const auto done = std::move(found->second.on_done);
        shared->erase(found);
        if (done) done(std::move(result));
    });
    active.erase(t->call_id);
}

void http_client::implementation::run() {
    constexpr int max_poll_ms = 1000; // upper bound; new commands wake the poll earlier
    while (!stopping) {
        apply_commands();
        int running = 0;
        curl_multi_perform(multi, &running);
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
            if (message->msg == CURLMSG_DONE) finish(message->easy_handle, message->data.result);
        }
        curl_multi_poll(multi, nullptr, 0, max_poll_ms, nullptr);
    }
    for (auto& [call_id, t] : active)
        curl_multi_remove_handle(multi, t->easy);
    active.clear();
}

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

http_client::http_client(event_loop& loop) : impl_(std::make_unique<implementation>(loop)) {
    impl_->thread = std::thread{[this] { impl_->run(); }};
}

http_client::~http_client() {
    impl_->stopping = true;
    curl_multi_wakeup(impl_->multi);
    impl_->thread.join();
    impl_->handlers->clear();
    curl_multi_cleanup(impl_->multi);
}

std::uint64_t http_client::start(http_call call, http_call_handlers handlers) {
    auto t = std::make_unique<transfer>();
    t->call_id = impl_->next_call_id++;
    t->call = std::move(call);
    t->streaming = static_cast<bool>(handlers.on_data);
    t->loop = &impl_->loop;
    t->handlers = impl_->handlers;
    const std::uint64_t call_id = t->call_id;
    impl_->handlers->emplace(call_id, std::move(handlers));
    {
        const std::lock_guard lock{impl_->mutex};
        impl_->pending_transfers.push_back(std::move(t));
    }
    curl_multi_wakeup(impl_->multi);
    return call_id;
}

void http_client::cancel(std::uint64_t call_id) {
    if (impl_->handlers->erase(call_id) == 0) return;
    {
        const std::lock_guard lock{impl_->mutex};
        impl_->pending_cancels.push_back(call_id);
    }
    curl_multi_wakeup(impl_->multi);
}

} // namespace damaskhill
