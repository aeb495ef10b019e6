#include "src/base/HttpLoop.h"

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <curl/curl.h>
#include <pthread.h>
#include <strings.h>

namespace pimentostage {

namespace {

constexpr int kHttpContinue = 100;
constexpr int kHttpOk = 200;
constexpr Duration kLongestPoll = std::chrono::seconds(1);
constexpr long kMostIdleConnections = 4096;

struct EasyDeleter
{
    void operator()(CURL *easy) const { curl_easy_cleanup(easy); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct ListDeleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view trimmed(std::string_view text)
{
    static constexpr std::string_view kSpace = " \t\r\n";
    const std::size_t first = text.find_first_not_of(kSpace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

void initialiseCurlOnce()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)result;
}

struct FailureRow
{
    CURLcode code_;
    Step step_;
    ErrorCode error_;
};

constexpr FailureRow kFailures[] = {
    { CURLE_COULDNT_CONNECT, Step::Connect, ErrorCode::Unreachable },
    { CURLE_OPERATION_TIMEDOUT, Step::ReadAnswer, ErrorCode::Timeout },
    { CURLE_SEND_ERROR, Step::SendRequest, ErrorCode::Unreachable },
    { CURLE_RECV_ERROR, Step::ReadAnswer, ErrorCode::Unreachable },
    { CURLE_GOT_NOTHING, Step::ReadAnswer, ErrorCode::Unreachable },
    { CURLE_PARTIAL_FILE, Step::CheckAnswer, ErrorCode::Mismatch },
    { CURLE_WRITE_ERROR, Step::CheckAnswer, ErrorCode::Mismatch },
    { CURLE_WEIRD_SERVER_REPLY, Step::ReadAnswer, ErrorCode::Malformed },
    { CURLE_UNSUPPORTED_PROTOCOL, Step::ReadAnswer, ErrorCode::Malformed },
    { CURLE_ABORTED_BY_CALLBACK, Step::ReadAnswer, ErrorCode::Unreachable },
};

} // namespace

const std::string &HttpAnswer::header(std::string_view name) const
{
    static const std::string none;
    for (const HttpHeader &header : headers_) {
        if (equalsIgnoringCase(header.name_, name))
            return header.value_;
    }
    return none;
}

class HttpLoop::Impl
{
public:
    explicit Impl(const HttpLoopOptions &options)
        : options_(options)
    {
        initialiseCurlOnce();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, options_.connectionsPerPeer_);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMostIdleConnections);
        curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        thread_ = std::thread([this] { run(); });
        const std::size_t kLongestThreadName = 15;
        pthread_setname_np(thread_.native_handle(),
                           options_.threadName_.substr(0, kLongestThreadName).c_str());
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        curl_multi_wakeup(multi_);
        thread_.join();
        for (auto &[id, transfer] : transfers_)
            curl_multi_remove_handle(multi_, transfer->easy_.get());
        transfers_.clear();
        idle_.clear();
        curl_multi_cleanup(multi_);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void post(Task task)
    {
        {
            const std::lock_guard lock(mutex_);
            tasks_.push_back(std::move(task));
        }
        curl_multi_wakeup(multi_);
    }

    TransferId start(HttpRequest request, Done done)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id_ = ++lastId_;
        transfer->request_ = std::move(request);
        transfer->done_ = std::move(done);
        transfer->mostAnswerBytes_ = options_.mostAnswerBytes_;
        transfer->startedAt_ = BootClock::now();
        transfer->easy_ = takeEasy();
        prepare(*transfer);
        const TransferId id = transfer->id_;
        CURL *easy = transfer->easy_.get();
        transfers_.emplace(id, std::move(transfer));
        curl_multi_add_handle(multi_, easy);
        return id;
    }

    void cancel(TransferId id)
    {
        const auto found = transfers_.find(id);
        if (found == transfers_.end())
            return;
        // Removing a handle in mid-transfer closes its connection.
        curl_multi_remove_handle(multi_, found->second->easy_.get());
        giveBack(std::move(found->second->easy_));
        transfers_.erase(found);
    }

    void runAt(TimePoint at, Task task) { timers_.emplace(at, std::move(task)); }

private:
    struct Transfer
    {
        TransferId id_ = 0;
        HttpRequest request_;
        Done done_;
        EasyHandle easy_;
        HeaderList headers_;
        HttpAnswer answer_;
        TimePoint startedAt_;
        std::size_t mostAnswerBytes_ = 0;
        int sends_ = 0; ///< how often curl was about to write the request to a connection
        bool headersComplete_ = false;
        bool isMismatched_ = false;
        bool isForbidden_ = false; ///< HttpRequest::maySend_ was false
    };

    EasyHandle takeEasy()
    {
        if (idle_.empty())
            return EasyHandle(curl_easy_init());
        EasyHandle easy = std::move(idle_.back());
        idle_.pop_back();
        curl_easy_reset(easy.get());
        return easy;
    }

    void giveBack(EasyHandle easy)
    {
        const std::size_t kMostIdleHandles = 256;
        if (idle_.size() < kMostIdleHandles)
            idle_.push_back(std::move(easy));
    }

    void prepare(Transfer &transfer)
    {
        CURL *easy = transfer.easy_.get();
        const HttpRequest &request = transfer.request_;
        curl_easy_setopt(easy, CURLOPT_URL, request.url_.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, millisecondsUp(request.timeout_));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         millisecondsUp(std::min(options_.connectTimeout_, request.timeout_)));
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, idleSeconds());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Impl::onAboutToSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        if (request.method_ == "HEAD")
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        const bool hasBody
            = !request.body_.empty() || request.method_ == "POST" || request.method_ == "PUT";
        if (hasBody) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.body_.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body_.data());
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
        transfer.headers_ = headerList(request);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers_.get());
    }

    static HeaderList headerList(const HttpRequest &request)
    {
        // An empty Expect header keeps curl from waiting for "100 Continue".
        curl_slist *list = curl_slist_append(nullptr, "Expect:");
        for (const HttpHeader &header : request.headers_) {
            const std::string line = header.name_ + ": " + header.value_;
            list = curl_slist_append(list, line.c_str());
        }
        return HeaderList(list);
    }

    long idleSeconds() const
    {
        const auto seconds
            = std::chrono::duration_cast<std::chrono::seconds>(options_.mostIdleAge_);
        return std::max<long>(1, seconds.count());
    }

    static long millisecondsUp(Duration duration)
    {
        const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(duration);
        return std::max<long>(1, rounded.count());
    }

    // curl writes a request again by itself when a reused connection breaks before an answer.
    // That decision belongs to RequestExecution, so a second write is prevented here.
    static int onAboutToSend(void *context, char *, char *, int, int)
    {
        auto &transfer = *static_cast<Transfer *>(context);
        if (transfer.sends_ > 0)
            return CURL_PREREQFUNC_ABORT;
        const auto &maySend = transfer.request_.maySend_;
        transfer.isForbidden_ = maySend && !maySend();
        if (transfer.isForbidden_)
            return CURL_PREREQFUNC_ABORT;
        ++transfer.sends_;
        return CURL_PREREQFUNC_OK;
    }

    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto &transfer = *static_cast<Transfer *>(context);
        const std::string_view line = trimmed({ data, size * count });
        if (line.empty())
            return endHeaders(transfer) ? size * count : 0;
        if (line.substr(0, 5) == "HTTP/") {
            transfer.answer_.headers_.clear();
            return size * count;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos) {
            transfer.answer_.headers_.push_back(HttpHeader {
                std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))) });
        }
        return size * count;
    }

    static bool endHeaders(Transfer &transfer)
    {
        long status = 0;
        curl_easy_getinfo(transfer.easy_.get(), CURLINFO_RESPONSE_CODE, &status);
        if (status >= kHttpContinue && status < kHttpOk)
            return true;
        transfer.headersComplete_ = true;
        transfer.answer_.status_ = static_cast<int>(status);
        const std::string &expected = transfer.request_.expectedId_;
        transfer.isMismatched_
            = !expected.empty() && transfer.answer_.header(kRequestIdHeader) != expected;
        return !transfer.isMismatched_;
    }

    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto &transfer = *static_cast<Transfer *>(context);
        std::string &body = transfer.answer_.body_;
        if (body.size() + size * count > transfer.mostAnswerBytes_)
            return 0;
        body.append(data, size * count);
        return size * count;
    }

    void run()
    {
        while (true) {
            const std::vector<Task> tasks = takeTasks();
            for (const Task &task : tasks)
                task();
            runTimers();
            int running = 0;
            curl_multi_perform(multi_, &running);
            finishTransfers();
            if (isStopping())
                return;
            curl_multi_poll(multi_, nullptr, 0, pollMilliseconds(), nullptr);
        }
    }

    std::vector<Task> takeTasks()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(tasks_, {});
    }

    bool isStopping()
    {
        const std::lock_guard lock(mutex_);
        return stopping_;
    }

    void runTimers()
    {
        const TimePoint now = BootClock::now();
        while (!timers_.empty() && timers_.begin()->first <= now) {
            const Task task = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            task();
        }
    }

    int pollMilliseconds() const
    {
        Duration wait = kLongestPoll;
        if (!timers_.empty())
            wait = std::min(wait, timers_.begin()->first - BootClock::now());
        if (wait <= Duration::zero())
            return 0;
        return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
    }

    void finishTransfers()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer *finished = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
            finish(*finished, message->data.result);
        }
    }

    void finish(Transfer &finished, CURLcode code)
    {
        const auto found = transfers_.find(finished.id_);
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        transfers_.erase(found);
        HttpResult result = resultOf(*transfer, code);
        curl_multi_remove_handle(multi_, transfer->easy_.get());
        giveBack(std::move(transfer->easy_));
        transfer->done_(std::move(result));
    }

    HttpResult resultOf(Transfer &transfer, CURLcode code) const
    {
        HttpResult result;
        result.elapsed_ = BootClock::now() - transfer.startedAt_;
        if (code == CURLE_OK && transfer.headersComplete_) {
            result.state_ = AttemptState::Answered;
            result.answer_ = std::move(transfer.answer_);
            return result;
        }
        result.state_ = sendStateOf(transfer);
        result.error_ = errorOf(transfer, code);
        return result;
    }

    static AttemptState sendStateOf(const Transfer &transfer)
    {
        if (transfer.sends_ == 0)
            return AttemptState::NotSent;
        curl_off_t uploaded = 0;
        curl_easy_getinfo(transfer.easy_.get(), CURLINFO_SIZE_UPLOAD_T, &uploaded);
        const bool isWhole = transfer.headersComplete_
                             || uploaded >= static_cast<curl_off_t>(transfer.request_.body_.size());
        return isWhole ? AttemptState::Sent : AttemptState::PartlySent;
    }

    Error errorOf(const Transfer &transfer, CURLcode code) const
    {
        Error error { Step::ReadAnswer, Peer { options_.peerKind_, transfer.request_.url_ },
                      ErrorCode::Unreachable, curl_easy_strerror(code) };
        const auto *row
            = std::find_if(std::begin(kFailures), std::end(kFailures),
                           [&](const FailureRow &known) { return known.code_ == code; });
        if (row != std::end(kFailures)) {
            error.step_ = row->step_;
            error.code_ = row->error_;
        }
        if (transfer.sends_ == 0)
            error.step_ = Step::Connect;
        if (transfer.isForbidden_) {
            error.code_ = ErrorCode::Stale;
            error.detail_ = "the lease under which it was to be sent has ended";
        }
        if (transfer.isMismatched_)
            error.detail_ = "the answer carries another request's id";
        return error;
    }

    const HttpLoopOptions options_;
    CURLM *multi_ = nullptr;
    std::unordered_map<TransferId, std::unique_ptr<Transfer>> transfers_;
    std::vector<EasyHandle> idle_;
    std::multimap<TimePoint, Task> timers_;
    TransferId lastId_ = 0;
    std::mutex mutex_;
    std::vector<Task> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

HttpLoop::HttpLoop(const HttpLoopOptions &options)
    : impl_(std::make_unique<Impl>(options))
{ }

HttpLoop::~HttpLoop() = default;

void HttpLoop::post(Task task)
{
    impl_->post(std::move(task));
}

HttpLoop::TransferId HttpLoop::start(HttpRequest request, Done done)
{
    return impl_->start(std::move(request), std::move(done));
}

void HttpLoop::cancel(TransferId transfer)
{
    impl_->cancel(transfer);
}

void HttpLoop::runAt(TimePoint at, Task task)
{
    impl_->runAt(at, std::move(task));
}

HttpResult HttpLoop::fetch(HttpRequest request)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    std::future<HttpResult> future = promise->get_future();
    post([this, promise, request = std::move(request)]() mutable {
        start(std::move(request),
              [promise](HttpResult result) { promise->set_value(std::move(result)); });
    });
    return future.get();
}

} // namespace pimentostage
