// Stand-ins for the users' platform (store), workers and consumers, and a runner for
// target/pimentostage-entry, written from the users' pages SYSTEM, DEPLOY and PROTOCOL.
// POSIX sockets and one thread for each connection; all addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace stage {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// Seconds since the start of the script.
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Lines of record.txt, with the time in front.
class Record
{
public:
    explicit Record(const std::string &path) : out_(path) { }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", now());
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct Message // an HTTP request or answer
{
    std::string first_, second_, third_; // words of the first line
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    bool isComplete_ = false; // false: the connection ended or timed out before

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers_) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return "";
    }
};

/// A connected socket with a read buffer.
class Channel
{
public:
    explicit Channel(int fd) : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Channel() { shut(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void shut()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }
    int fd() const { return fd_; }
    bool wasReset() const { return wasReset_; }

    bool write(const std::string &text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t n = ::send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            done += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// @return whether bytes were added before @p until.
    bool fill(double until)
    {
        for (;;) {
            const double left = until - now();
            if (left <= 0)
                return false;
            pollfd entry { fd_, POLLIN, 0 };
            const int ready = ::poll(&entry, 1, static_cast<int>(left * 1000) + 1);
            if (ready == 0)
                return false;
            char bytes[65536];
            const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0) {
                ended_ = true;
                wasReset_ = n < 0;
                return false;
            }
            buffer_.append(bytes, static_cast<std::size_t>(n));
            return true;
        }
    }
    bool ended() const { return ended_; }
    std::string &buffer() { return buffer_; }

    Message read(double until, bool isAnswer = false, bool hasNoBody = false)
    {
        Message message;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return message;
        }
        std::istringstream head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string row;
        std::getline(head, row);
        std::istringstream words(row);
        words >> message.first_ >> message.second_ >> message.third_;
        while (std::getline(head, row)) {
            if (!row.empty() && row.back() == '\r')
                row.pop_back();
            const std::size_t colon = row.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = colon + 1;
            while (value < row.size() && row[value] == ' ')
                ++value;
            message.headers_.emplace_back(row.substr(0, colon), row.substr(value));
        }
        if (hasNoBody) {
            message.isComplete_ = true;
            return message;
        }
        const std::string length = message.header("Content-Length");
        if (message.header("Transfer-Encoding").find("chunked") != std::string::npos) {
            for (;;) {
                std::size_t line = 0;
                while ((line = buffer_.find("\r\n")) == std::string::npos) {
                    if (!fill(until))
                        return message;
                }
                const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
                while (buffer_.size() < line + 2 + size + 2) {
                    if (!fill(until))
                        return message;
                }
                message.body_.append(buffer_, line + 2, size);
                buffer_.erase(0, line + 2 + size + 2);
                if (size == 0)
                    break;
            }
        } else if (!length.empty()) {
            const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
            while (buffer_.size() < size) {
                if (!fill(until))
                    return message;
            }
            message.body_ = buffer_.substr(0, size);
            buffer_.erase(0, size);
        } else if (isAnswer) {
            while (fill(until)) { }
            message.body_ = std::exchange(buffer_, {});
            message.isComplete_ = ended_ && !wasReset_;
            return message;
        }
        message.isComplete_ = true;
        return message;
    }

private:
    int fd_;
    std::string buffer_;
    bool ended_ = false;
    bool wasReset_ = false;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// @return a connected channel, or nullptr.
inline std::unique_ptr<Channel> connectTo(const std::string &ip, int port, double seconds = 1)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return nullptr;
    fcntl(fd, F_SETFL, O_NONBLOCK);
    const sockaddr_in address = addressOf(ip, port);
    int result = ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd entry { fd, POLLOUT, 0 };
        result = ::poll(&entry, 1, static_cast<int>(seconds * 1000)) == 1 ? 0 : -1;
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        result = error != 0 ? -1 : result;
    }
    if (result != 0) {
        ::close(fd);
        return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    return std::make_unique<Channel>(fd);
}

/// Accepts connections at ip:port (0: a free port); one thread for each.
class Listener
{
public:
    using Serve = std::function<void(Channel &)>;

    Listener(std::string ip, Serve serve, int port = 0) : ip_(std::move(ip)), serve_(std::move(serve))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = addressOf(ip_, port);
        if (::bind(fd_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(fd_, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof address;
        getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { acceptAll(); }).detach();
    }
    int port() const { return port_; }
    const std::string &ip() const { return ip_; }
    std::string address() const { return ip_ + ":" + std::to_string(port_); }

private:
    void acceptAll()
    {
        for (;;) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            std::thread([this, fd] {
                Channel channel(fd);
                serve_(channel);
            }).detach();
        }
    }

    const std::string ip_;
    const Serve serve_;
    int fd_ = -1;
    int port_ = 0;
};

inline std::string httpAnswer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's metadata store, after PROTOCOL.md.
class Store
{
public:
    explicit Store(const std::string &ip)
        : listener_(ip, [this](Channel &channel) { serve(channel); })
    { }
    std::string address() const { return listener_.address(); }

    /// What the operator or a worker writes.
    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(mutex_);
        set(kind, name, spec);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        erase(kind, name);
    }
    Json get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        const auto &objects = kinds_[kind];
        const auto found = objects.find(name);
        return found == objects.end() ? Json() : found->second.spec_;
    }
    /// All channels that are open now go silent for good, without a reset; new ones work.
    void silenceOpenChannels() { silentUpTo_ = openedChannels_.load(); }
    /// Called for each call before it is done; may wait. Returns false to reset the connection.
    std::function<bool(const Message &)> before_;
    /// Called for each answer after the call is done; returns false to send nothing.
    std::function<bool(const Message &, const std::string &)> after_;

private:
    struct Object
    {
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        Json spec_;
        Json status_;
    };
    struct Event
    {
        std::uint64_t revision_;
        std::string kind_;
        Json object_;
        bool isDeleted_;
    };

    static Json toJson(const std::string &name, const Object &object)
    {
        return { { "Metadata",
                   { { "Name", name },
                     { "Revision", object.revision_ },
                     { "Created", object.created_ },
                     { "Finalizers", Json::array() },
                     { "Deleting", false } } },
                 { "Spec", object.spec_ },
                 { "Status", object.status_ } };
    }

    void set(const std::string &kind, const std::string &name, const Json &spec)
    {
        Object &object = kinds_[kind][name];
        if (object.revision_ != 0 && object.spec_ == spec)
            return;
        object.revision_ = ++revision_;
        if (object.created_ == 0)
            object.created_ = revision_;
        object.spec_ = spec;
        events_.push_back({ revision_, kind, toJson(name, object), false });
        changed_.notify_all();
    }

    void erase(const std::string &kind, const std::string &name)
    {
        auto &objects = kinds_[kind];
        const auto found = objects.find(name);
        if (found == objects.end())
            return;
        const Json last = toJson(name, found->second);
        objects.erase(found);
        events_.push_back({ ++revision_, kind, last, true });
        changed_.notify_all();
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t begin = target.find('?');
        std::istringstream fields(begin == std::string::npos ? "" : target.substr(begin + 1));
        std::string field;
        while (std::getline(fields, field, '&')) {
            if (field.rfind(name + '=', 0) == 0)
                return field.substr(name.size() + 1);
        }
        return "";
    }

    void serve(Channel &channel)
    {
        const std::uint64_t number = ++openedChannels_;
        for (;;) {
            const Message call = channel.read(now() + 300);
            if (!call.isComplete_)
                return;
            if (number <= silentUpTo_) // what arrives is lost, and nothing is sent
                continue;
            if (before_ && !before_(call))
                return;
            const std::string answer = handle(call);
            if (after_ && !after_(call, answer)) {
                sleepFor(8); // nothing further on this channel
                return;
            }
            if (number > silentUpTo_ && !channel.write(answer))
                return;
        }
    }

    static std::string reply(int status, const Json &body)
    {
        return httpAnswer(status, "Content-Type: application/json\r\n", body.dump());
    }

    std::string handle(const Message &call)
    {
        static const std::string kPrefix = "/pimentostage/objects/";
        const std::string &target = call.second_;
        const std::string path = target.substr(0, target.find('?'));
        if (path.rfind(kPrefix, 0) != 0)
            return reply(404, Json::object());
        std::string kind = path.substr(kPrefix.size());
        std::string name;
        const std::size_t slash = kind.find('/');
        if (slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        const std::string &method = call.first_;
        std::unique_lock lock(mutex_);
        if (method == "GET")
            return name.empty() ? list(kind, target, lock) : one(kind, name);
        auto &objects = kinds_[kind];
        const Json body = Json::parse(call.body_, nullptr, false);
        const Json metadata = body.is_object() && body.contains("Metadata") ? body["Metadata"]
                                                                            : Json::object();
        if (method == "POST") {
            const std::string posted = metadata.value("Name", "");
            if (objects.contains(posted))
                return reply(409, toJson(posted, objects[posted]));
            set(kind, posted, body["Spec"]);
            return reply(201, toJson(posted, objects[posted]));
        }
        if (!objects.contains(name))
            return reply(404, Json::object());
        std::uint64_t expected = metadata.value("Revision", std::uint64_t { 0 });
        const std::string inQuery = query(target, "Revision");
        if (!inQuery.empty())
            expected = std::strtoull(inQuery.c_str(), nullptr, 10);
        if (expected != 0 && expected != objects[name].revision_)
            return reply(409, toJson(name, objects[name]));
        if (method == "PUT") {
            set(kind, name, body["Spec"]);
            return reply(200, toJson(name, objects[name]));
        }
        const Json last = toJson(name, objects[name]);
        erase(kind, name);
        return reply(200, last);
    }

    std::string one(const std::string &kind, const std::string &name)
    {
        const auto &objects = kinds_[kind];
        const auto found = objects.find(name);
        return found == objects.end() ? reply(404, Json::object())
                                      : reply(200, toJson(name, found->second));
    }

    std::string list(const std::string &kind, const std::string &target,
                     std::unique_lock<std::mutex> &lock)
    {
        const std::string watch = query(target, "Watch");
        if (watch.empty()) {
            const std::string after = query(target, "after");
            Json items = Json::array();
            for (const auto &[name, object] : kinds_[kind]) {
                if (name > after)
                    items.push_back(toJson(name, object));
            }
            return reply(200, { { "items", items }, { "HasMore", false }, { "AsOf", revision_ } });
        }
        const std::uint64_t since = std::strtoull(watch.c_str(), nullptr, 10);
        const auto wait = std::chrono::milliseconds(std::atoi(query(target, "WaitMs").c_str()));
        const auto until = Clock::now() + wait;
        Json events = Json::array();
        const auto collect = [&] {
            for (const Event &event : events_) {
                if (event.revision_ > since && event.kind_ == kind)
                    events.push_back({ { "Object", event.object_ }, { "Deleted", event.isDeleted_ } });
            }
            return !events.empty();
        };
        while (!collect()) {
            if (changed_.wait_until(lock, until) == std::cv_status::timeout) {
                collect();
                break;
            }
        }
        return reply(200, { { "events", events }, { "AsOf", revision_ } });
    }

    std::atomic<std::uint64_t> openedChannels_ { 0 }, silentUpTo_ { 0 };
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::map<std::string, std::map<std::string, Object>> kinds_;
    std::vector<Event> events_;
    Listener listener_;
};

struct Run
{
    double at_;
    std::string request_;
    std::string worker_;
};

/// A sound worker: runs each request for its work time and gives a whole, signed answer.
class Worker
{
public:
    Worker(const std::string &ip, std::string id, std::string service, std::string zone,
           double workSeconds, int slots = 6)
        : id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , workSeconds_(workSeconds)
        , slots_(slots)
        , born_(unixMilliseconds())
        , listener_(ip, [this](Channel &channel) { serve(channel); })
    { }

    Json entry(const std::string &state = "ready") const
    {
        return { { "Service", service_ }, { "Address", listener_.address() },
                 { "Zone", zone_ },       { "Version", "v1" },
                 { "MaxConcurrency", slots_ }, { "State", state },
                 { "WarmupLeftMs", 0 },   { "Sequence", 4 },
                 { "born", born_.load() } };
    }
    const std::string &id() const { return id_; }
    int life() const { return life_; }
    /// The process ends and starts again under its id; it then holds and knows nothing of before.
    /// Its address refuses to talk for @p downSeconds meanwhile.
    void restart(double downSeconds)
    {
        isDown_ = true;
        endLife();
        sleepFor(downSeconds);
        isDown_ = false;
    }

    /// Called for each grant that is taken: keys from, to, fence.
    std::function<void(std::size_t, std::size_t, std::uint64_t)> onGrant_;
    /// The service is divided by key: only requests for granted keys run.
    void setSharded() { hold_.assign(65536, Hold {}); }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    static std::string bodyFor(const std::string &request) { return "answer to " + request + "\n"; }

    /// If set, called instead of the usual handling of a request, after it was recorded as run.
    std::function<void(Channel &, const Message &)> answer_;

private:
    void endLife()
    {
        const std::lock_guard lock(mutex_);
        ++life_;
        for (const int fd : open_)
            ::shutdown(fd, SHUT_RDWR);
        std::fill(hold_.begin(), hold_.end(), Hold {});
        runningKeys_.clear();
        born_ = unixMilliseconds();
    }

    static std::uint64_t unixMilliseconds()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
    }

    void serve(Channel &channel)
    {
        const int fd = channel.fd();
        if (isDown_)
            return;
        {
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
        }
        for (;;) {
            const Message request = channel.read(now() + 10);
            if (!request.isComplete_ || !handle(channel, request))
                break;
        }
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
    }

    bool handle(Channel &channel, const Message &request)
    {
        char load[64];
        std::snprintf(load, sizeof load, "Pimentostage-Upstream-Load: %d,0,%d,100\r\n",
                      running_.load(), slots_);
        if (request.second_ == "/health")
            return channel.write(httpAnswer(
                200, "Pimentostage-Upstream-Instance: " + id_ + "\r\n" + load, ""));
        const std::string id = request.header("Pimentostage-Request-Id");
        const std::string echo = "Pimentostage-Request-Id: " + id + "\r\n";
        if (request.second_ == "/pimentostage/grant")
            return channel.write(grant(Json::parse(request.body_, nullptr, false)));
        if (request.second_ == "/pimentostage/release")
            return channel.write(release(Json::parse(request.body_, nullptr, false)));
        const std::string expected = request.header("Pimentostage-Expected-Instance");
        if (!expected.empty() && expected != id_)
            return channel.write(httpAnswer(
                421, echo + "Pimentostage-Upstream-Instance: " + id_ + "\r\n", ""));
        if (running_.fetch_add(1) >= slots_) {
            running_.fetch_sub(1);
            return channel.write(
                httpAnswer(503, echo + load + "Pimentostage-Not-Executed: 1\r\n", ""));
        }
        const int key = hold_.empty() ? -1 : std::atoi(request.header("Pimentostage-Shard-Key").c_str());
        {
            const std::lock_guard lock(mutex_);
            if (key >= 0 && hold_.at(static_cast<std::size_t>(key)).until_ <= now()) {
                running_.fetch_sub(1);
                return channel.write(
                    httpAnswer(421, echo + load + "Pimentostage-Not-Executed: 1\r\n", ""));
            }
            if (key >= 0)
                ++runningKeys_[key];
            runs_.push_back({ now(), id, id_ });
        }
        if (answer_) {
            answer_(channel, request);
            running_.fetch_sub(1);
            return channel.fd() >= 0;
        }
        sleepFor(workSeconds_);
        running_.fetch_sub(1);
        if (key >= 0) {
            const std::lock_guard lock(mutex_);
            --runningKeys_[key];
        }
        return channel.write(httpAnswer(
            200, echo + load + "Pimentostage-Upstream-Signature: s." + id + "\r\n", bodyFor(id)));
    }

    struct Hold
    {
        std::uint64_t fence_ = 0;
        double until_ = 0;
    };

    std::string grant(const Json &order)
    {
        const std::size_t from = order.at("From"), to = order.at("Target");
        const std::uint64_t fence = order.at("fence");
        const std::lock_guard lock(mutex_);
        for (std::size_t key = from; key <= to; ++key) {
            if (hold_.at(key).fence_ > fence)
                return httpAnswer(409, "", "");
        }
        const double until = now() + order.at("HoldMs").get<double>() / 1000;
        for (std::size_t key = from; key <= to; ++key)
            hold_[key] = Hold { fence, until };
        if (onGrant_)
            onGrant_(from, to, fence);
        return httpAnswer(200, "", "");
    }

    std::string release(const Json &order)
    {
        const std::size_t from = order.at("From"), to = order.at("Target");
        const std::uint64_t fence = order.at("fence");
        {
            const std::lock_guard lock(mutex_);
            for (std::size_t key = from; key <= to; ++key) {
                hold_.at(key).until_ = 0;
                hold_[key].fence_ = std::max(hold_[key].fence_, fence);
            }
        }
        for (;;) {
            {
                const std::lock_guard lock(mutex_);
                const bool isRunning
                    = std::any_of(runningKeys_.begin(), runningKeys_.end(), [&](const auto &entry) {
                          return entry.second > 0 && entry.first >= static_cast<int>(from)
                                 && entry.first <= static_cast<int>(to);
                      });
                if (!isRunning)
                    break;
            }
            sleepFor(0.005);
        }
        return httpAnswer(200, "Pimentostage-Handover: h" + newHandover() + "\r\n", "");
    }

    static std::string newHandover()
    {
        static std::atomic<unsigned> count { 0 };
        return std::to_string(++count);
    }

    std::vector<Hold> hold_; ///< by key; empty if the service is not divided
    std::map<int, int> runningKeys_;
    const std::string id_, service_, zone_;
    const double workSeconds_;
    const int slots_;
    std::atomic<std::uint64_t> born_;
    std::atomic<int> life_ { 1 };
    std::atomic<bool> isDown_ { false };
    std::set<int> open_; ///< descriptors of its channels
    std::atomic<int> running_ { 0 };
    std::mutex mutex_;
    std::vector<Run> runs_;
    Listener listener_;
};

/// Fills in the template of the deploy file as the platform does, for the fields that it uses.
inline std::string render(std::string text, const std::map<std::string, std::string> &fields)
{
    for (;;) { // sections
        const std::size_t open = text.find("{{#");
        if (open == std::string::npos)
            break;
        const std::size_t openEnd = text.find("}}", open);
        const std::string name = text.substr(open + 3, openEnd - open - 3);
        const std::string closing = "{{/" + name + "}}";
        const std::size_t close = text.find(closing, openEnd);
        const auto value = fields.find(name);
        std::string inner;
        if (value != fields.end() && value->second != "false") {
            inner = text.substr(openEnd + 2, close - openEnd - 2);
            const std::size_t dot = inner.find("{{.}}");
            if (dot != std::string::npos)
                inner.replace(dot, 5, value->second);
        }
        text.replace(open, close + closing.size() - open, inner);
    }
    for (;;) {
        const std::size_t open = text.find("{{");
        if (open == std::string::npos)
            return text;
        const std::size_t end = text.find("}}", open);
        const auto value = fields.find(text.substr(open + 2, end - open - 2));
        text.replace(open, end + 2 - open, value == fields.end() ? "" : value->second);
    }
}

/// A machine that runs the role of the deploy file as a process of its own.
class Machine
{
public:
    Machine(std::string name, std::string ip, std::string zone, std::string store,
            std::string seeds, std::string folder)
        : name_(std::move(name))
        , ip_(std::move(ip))
        , zone_(std::move(zone))
        , store_(std::move(store))
        , seeds_(std::move(seeds))
        , folder_(std::move(folder))
    { }
    ~Machine() { kill(); }

    void start(bool isFirst)
    {
        std::ifstream in("deploy/settings.ini");
        const std::string text((std::istreambuf_iterator<char>(in)), {});
        const std::string path = folder_ + "/" + name_ + ".ini";
        std::ofstream(path) << render(
            text, { { "NodeName", name_ },
                    { "Zone", zone_ },
                    { "Ip", ip_ },
                    { "Limits.CpuShare", "0.2" },
                    { "Bootstrap", isFirst ? "true" : "false" },
                    { "BindAddresses.FrontAddress", ip_ + ":8045" },
                    { "BindAddresses.Readiness", ip_ + ":8048" },
                    { "InternalPortRange.0", "7100" },
                    { "SeedNodes", seeds_ },
                    { "Bounds.GracePeriodS", "6" },
                    { "Bounds.RevokeMs", "5000" },
                    { "Bounds.ConfigDeadlineMs", "2000" },
                    { "Platform.Address", store_ } });
        const std::string log = folder_ + "/" + name_ + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it does not outlive the script
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("PIMENTOSTAGE_CONFIG", path.c_str(), 1);
            ::execl("target/pimentostage-entry", "target/pimentostage-entry", nullptr);
            ::_exit(127);
        }
        pid_ = pid;
    }

    void signal(int number)
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    /// Ends the process and waits for it.
    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    /// @return the wait status if the process has ended by itself, or -1.
    int ended()
    {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
            return -1;
        pid_ = -1;
        return status;
    }
    /// Resident memory in bytes.
    std::size_t memory() const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        in >> total >> resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }
    bool isReady() const
    {
        const auto channel = connectTo(ip_, 8048, 0.2);
        if (!channel || !channel->write("GET /pimentostage/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        return channel->read(now() + 0.5, true).second_ == "200";
    }
    bool awaitReady(double seconds) const
    {
        const double until = now() + seconds;
        while (now() < until) {
            if (isReady())
                return true;
            sleepFor(0.05);
        }
        return false;
    }
    const std::string &ip() const { return ip_; }
    const std::string &name() const { return name_; }
    pid_t pid() const { return pid_; }

private:
    const std::string name_, ip_, zone_, store_, seeds_, folder_;
    pid_t pid_ = -1;
};

/// @return "127.a.b." with a and b so chosen that the ports of the deploy file are free there.
inline std::string freeNetwork()
{
    std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 100; ++attempt) {
        const std::string network = "127." + std::to_string(2 + random() % 250) + '.'
                                    + std::to_string(1 + random() % 250) + '.';
        bool isFree = true;
        for (int host = 1; host <= 8 && isFree; ++host) {
            for (const int port : { 7100, 8042, 8045, 8048, 9464 }) {
                const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in address = addressOf(network + std::to_string(host), port);
                const int on = 1;
                setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
                isFree = isFree
                         && ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                                == 0;
                ::close(fd);
            }
        }
        if (isFree)
            return network;
    }
    std::exit(2);
}

inline std::string temporaryFolder()
{
    char path[] = "/tmp/review-XXXXXX";
    if (!::mkdtemp(path))
        std::exit(2);
    return path;
}

/// Requests have unique ids.
inline std::string newId()
{
    static std::atomic<unsigned> count { 0 };
    static const unsigned base = std::random_device {}();
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", base, ++count);
    return text;
}

} // namespace stage
