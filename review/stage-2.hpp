#pragma once

// Stand-ins for the scripts of the second review: the platform's store, workers, clients and the
// control of entry processes. Everything listens on 127.0.0.1 and uses free ports.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace stage {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline const Clock::time_point kStart = Clock::now();

inline double nowS()
{
    return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void sleepS(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// @return whether the disruption is to be played.
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// The record of what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : out_(path)
    { }

    void write(const std::string &line)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", nowS());
        const std::lock_guard lock(mutex_);
        out_ << time << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline sockaddr_in addressOf(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listenOn(int port, int *chosen)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = addressOf(port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    *chosen = ntohs(address.sin_port);
    return fd;
}

inline int freePort()
{
    int port = 0;
    close(listenOn(0, &port));
    return port;
}

inline int connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(port);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return fd;
    close(fd);
    return -1;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), ::tolower);
    return text;
}

inline std::string find(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (lower(key) == lower(name))
            return value;
    }
    return "";
}

/// Reads messages from a socket.
class Reader
{
public:
    explicit Reader(int fd)
        : fd_(fd)
    { }

    /// @return a line without its end, or nothing when the channel has ended or @p untilS passed.
    std::optional<std::string> line(double untilS)
    {
        while (true) {
            const auto end = buffer_.find("\r\n");
            if (end != std::string::npos) {
                std::string text = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return text;
            }
            if (!more(untilS))
                return std::nullopt;
        }
    }

    std::optional<std::string> bytes(std::size_t size, double untilS)
    {
        while (buffer_.size() < size) {
            if (!more(untilS))
                return std::nullopt;
        }
        std::string text = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return text;
    }

    std::optional<Headers> headers(double untilS)
    {
        Headers result;
        while (true) {
            const auto text = line(untilS);
            if (!text)
                return std::nullopt;
            if (text->empty())
                return result;
            const auto colon = text->find(':');
            if (colon == std::string::npos)
                return std::nullopt;
            std::string value = text->substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            result.emplace_back(text->substr(0, colon), value);
        }
    }

    [[nodiscard]] bool hasEnded() const { return hasEnded_; }

private:
    bool more(double untilS)
    {
        if (hasEnded_)
            return false;
        pollfd wait { fd_, POLLIN, 0 };
        const int ms = static_cast<int>(std::max(0.0, untilS - nowS()) * 1000);
        if (poll(&wait, 1, ms) <= 0)
            return false;
        char part[65536];
        const ssize_t size = recv(fd_, part, sizeof part, 0);
        hasEnded_ = size <= 0;
        if (size > 0)
            buffer_.append(part, static_cast<std::size_t>(size));
        return size > 0;
    }

    const int fd_;
    std::string buffer_;
    bool hasEnded_ = false;
};

constexpr double kForever = 1e9;

struct Request
{
    std::string method_;
    std::string target_;
    Headers headers_;
    std::string body_;
};

/// Reads a request with a Content-Length or without a body, as the entry process sends them.
inline std::optional<Request> readRequest(Reader &reader)
{
    const auto first = reader.line(kForever);
    if (!first)
        return std::nullopt;
    Request request;
    std::istringstream(*first) >> request.method_ >> request.target_;
    auto headers = reader.headers(kForever);
    if (!headers)
        return std::nullopt;
    request.headers_ = std::move(*headers);
    const std::string length = find(request.headers_, "Content-Length");
    if (!length.empty()) {
        auto body = reader.bytes(std::stoul(length), kForever);
        if (!body)
            return std::nullopt;
        request.body_ = std::move(*body);
    }
    return request;
}

struct Answer
{
    int status_ = 0;
    Headers headers_;
    std::string body_;
};

/// @return the next answer with a Content-Length, or nothing if none arrives until @p untilS.
inline std::optional<Answer> readAnswer(Reader &reader, double untilS)
{
    const auto first = reader.line(untilS);
    if (!first)
        return std::nullopt;
    Answer answer;
    std::string version;
    std::istringstream(*first) >> version >> answer.status_;
    auto headers = reader.headers(untilS);
    if (!headers)
        return std::nullopt;
    answer.headers_ = std::move(*headers);
    const std::string length = find(answer.headers_, "Content-Length");
    auto body = reader.bytes(length.empty() ? 0 : std::stoul(length), untilS);
    if (!body)
        return std::nullopt;
    answer.body_ = std::move(*body);
    return answer;
}

/// Serves each connection on a thread of its own.
class Server
{
public:
    explicit Server(std::function<void(int)> serve, int port = 0)
        : serve_(std::move(serve))
        , fd_(listenOn(port, &port_))
    {
        if (fd_ < 0) {
            std::fprintf(stderr, "no port to listen on\n");
            std::exit(2);
        }
        std::thread([this] {
            while (true) {
                const int client = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0)
                    continue;
                const int one = 1;
                setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([this, client] {
                    serve_(client);
                    close(client);
                }).detach();
            }
        }).detach();
    }

    [[nodiscard]] int port() const { return port_; }

private:
    const std::function<void(int)> serve_;
    int port_ = 0;
    const int fd_;
};

/// The platform's store: objects by kind and name, one revision, watches.
class Store
{
public:
    Store()
        : server_([this](int fd) { serve(fd); })
    { }

    [[nodiscard]] int port() const { return server_.port(); }

    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(mutex_);
        putLocked(kind, name, spec);
    }

private:
    struct Event
    {
        std::uint64_t revision_;
        std::string kind_;
        Json json_;
    };

    Json putLocked(const std::string &kind, const std::string &name, const Json &spec)
    {
        ++revision_;
        const auto found = objects_.find({ kind, name });
        const Json created = found == objects_.end() ? Json(revision_)
                                                     : found->second["Metadata"]["Created"];
        Json object { { "Metadata",
                        { { "Name", name },
                          { "Revision", revision_ },
                          { "Created", created },
                          { "Finalizers", Json::array() },
                          { "Deleting", false } } },
                      { "Spec", spec },
                      { "Status", nullptr } };
        objects_[{ kind, name }] = object;
        events_.push_back({ revision_, kind, { { "Deleted", false }, { "Object", object } } });
        changed_.notify_all();
        return object;
    }

    void removeLocked(const std::string &kind, const std::string &name)
    {
        const auto found = objects_.find({ kind, name });
        if (found == objects_.end())
            return;
        Json object = found->second;
        objects_.erase(found);
        object["Metadata"]["Revision"] = ++revision_;
        events_.push_back({ revision_, kind, { { "Deleted", true }, { "Object", object } } });
        changed_.notify_all();
    }

    void serve(int fd)
    {
        Reader reader(fd);
        while (const auto request = readRequest(reader)) {
            const auto [status, body] = handle(*request);
            const std::string text = body.dump();
            if (!sendAll(fd, "HTTP/1.1 " + std::to_string(status)
                                 + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
        }
    }

    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> query;
        const auto mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            const auto equals = part.find('=');
            query[part.substr(0, equals)]
                = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return query;
    }

    std::pair<int, Json> handle(const Request &request)
    {
        const std::string prefix = "/pimentostage/objects/";
        const std::string path = request.target_.substr(0, request.target_.find('?'));
        if (path.rfind(prefix, 0) != 0)
            return { 404, Json::object() };
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const bool hasName = rest.find('/') != std::string::npos;
        std::string name = hasName ? rest.substr(rest.find('/') + 1) : "";
        const auto query = queryOf(request.target_);
        std::unique_lock lock(mutex_);
        if (request.method_ == "GET" && !hasName)
            return query.contains("Watch") ? watch(kind, query, lock) : list(kind, query);
        if (request.method_ == "GET") {
            const auto found = objects_.find({ kind, name });
            return found == objects_.end() ? std::pair(404, Json::object())
                                           : std::pair(200, found->second);
        }
        if (request.method_ == "DELETE") {
            removeLocked(kind, name);
            return { 200, Json::object() };
        }
        const Json body = Json::parse(request.body_, nullptr, false);
        const Json metadata = body.value("Metadata", Json::object());
        if (!hasName)
            name = metadata.value("Name", "");
        const auto found = objects_.find({ kind, name });
        if (request.method_ == "POST") {
            if (found != objects_.end())
                return { 409, found->second };
            return { 201, putLocked(kind, name, body.value("Spec", Json())) };
        }
        if (found == objects_.end())
            return { 404, Json::object() };
        if (metadata.contains("Revision")
            && metadata["Revision"] != found->second["Metadata"]["Revision"])
            return { 409, found->second };
        return { 200, putLocked(kind, name, body.value("Spec", Json())) };
    }

    std::pair<int, Json> list(const std::string &kind,
                              const std::map<std::string, std::string> &query)
    {
        const auto after = query.find("after");
        Json items = Json::array();
        for (const auto &[key, object] : objects_) {
            if (key.first == kind && (after == query.end() || key.second > after->second))
                items.push_back(object);
        }
        return { 200, { { "items", items }, { "HasMore", false }, { "AsOf", revision_ } } };
    }

    std::pair<int, Json> watch(const std::string &kind,
                               const std::map<std::string, std::string> &query,
                               std::unique_lock<std::mutex> &lock)
    {
        const std::uint64_t since = std::stoull(query.at("Watch"));
        const auto wait = query.find("WaitMs");
        const auto until
            = Clock::now()
              + std::chrono::milliseconds(wait == query.end() ? 0 : std::stoi(wait->second));
        while (true) {
            Json events = Json::array();
            for (const Event &event : events_) {
                if (event.revision_ > since && event.kind_ == kind)
                    events.push_back(event.json_);
            }
            const bool isOver = Clock::now() >= until;
            if (!events.empty() || isOver)
                return { 200, { { "events", events }, { "AsOf", revision_ } } };
            changed_.wait_until(lock, until);
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::map<std::pair<std::string, std::string>, Json> objects_;
    std::vector<Event> events_;
    Server server_;
};

struct Run
{
    double atS_;
    std::string worker_;
    Request request_;
    std::string id_;
};

/// A worker: registers itself, answers its health path and orders, rejects requests that are meant
/// for another instance, and gives all others to its handler.
class Worker
{
public:
    /// Answers a request on a channel. @return whether the channel is kept.
    using Handler = std::function<bool(Worker &, int, const Request &, const std::string &id)>;

    Worker(Store &store, Record &record, std::string service, std::string name, Handler handler)
        : store_(store)
        , record_(record)
        , service_(std::move(service))
        , name_(std::move(name))
        , handler_(std::move(handler))
        , bornMs_(std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count())
        , server_([this](int fd) { serve(fd); })
    {
        store_.put("servers", name_,
                   { { "Service", service_ },
                     { "Address", "127.0.0.1:" + std::to_string(server_.port()) },
                     { "Zone", "z1" },
                     { "Version", "v1" },
                     { "MaxConcurrency", kSlots },
                     { "State", "ready" },
                     { "WarmupLeftMs", 0 },
                     { "Sequence", 1 },
                     { "born", bornMs_ } });
    }

    static constexpr int kSlots = 6;

    [[nodiscard]] const std::string &name() const { return name_; }

    /// @return the header that tells the worker's load without the request that is being answered.
    [[nodiscard]] std::string load() const
    {
        return "Pimentostage-Upstream-Load: " + std::to_string(std::max(0, running_.load() - 1))
               + ",0,6\r\n";
    }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

    /// Sends a complete answer with the worker's proof.
    static bool answer(int fd, const std::string &id, int status, const std::string &body,
                       const std::string &more = "")
    {
        return sendAll(fd, "HTTP/1.1 " + std::to_string(status) + " Status\r\n"
                               + "Pimentostage-Request-Id: " + id + "\r\n"
                               + "Pimentostage-Upstream-Signature: proof-of-" + id + "\r\n"
                               + more
                               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                               + body);
    }

private:
    void serve(int fd)
    {
        Reader reader(fd);
        while (const auto request = readRequest(reader)) {
            if (request->target_ == "/health") {
                if (!sendAll(fd, "HTTP/1.1 200 OK\r\nPimentostage-Upstream-Instance: " + name_
                                     + "\r\nPimentostage-Upstream-Load: 0,0,6\r\n"
                                       "Content-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            const std::string expected = find(request->headers_, "Pimentostage-Expected-Instance");
            if (!expected.empty() && expected != name_) {
                sendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const std::string id = find(request->headers_, "Pimentostage-Request-Id");
            if (id.empty()) {
                sendAll(fd, "HTTP/1.1 400 Bad Request\r\nPimentostage-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
                continue;
            }
            {
                const std::lock_guard lock(mutex_);
                runs_.push_back({ nowS(), name_, *request, id });
            }
            record_.write("worker " + name_ + " runs " + request->method_ + ' ' + request->target_
                          + " id " + id);
            ++running_;
            const bool isKept = handler_(*this, fd, *request, id);
            --running_;
            if (!isKept)
                return;
        }
    }

    Store &store_;
    Record &record_;
    const std::string service_;
    const std::string name_;
    const Handler handler_;
    const std::int64_t bornMs_;
    std::atomic<int> running_ { 0 };
    std::mutex mutex_;
    std::vector<Run> runs_;
    Server server_;
};

inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
    return text;
}

/// Renders deploy/settings.ini as the platform does. A name without a value gives nothing.
inline std::string rendered(std::string text, const std::map<std::string, std::string> &values)
{
    for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
        const auto nameEnd = text.find("}}", at);
        const std::string name = text.substr(at + 3, nameEnd - at - 3);
        const std::string end = "{{/" + name + "}}";
        const auto close = text.find(end, nameEnd);
        const auto value = values.find(name);
        std::string inner = text.substr(nameEnd + 2, close - nameEnd - 2);
        inner = value == values.end() ? "" : replaced(inner, "{{.}}", value->second);
        text.replace(at, close + end.size() - at, inner);
    }
    for (const auto &[name, value] : values)
        text = replaced(text, "{{" + name + "}}", value);
    return text;
}

/// An entry process, started with the command and the settings template of the deploy file.
class Entry
{
public:
    /// @param values replace or add values of the template.
    Entry(const Store &store, const std::map<std::string, std::string> &values)
        : folder_(makeFolder())
        , front_(freePort())
        , ready_(freePort())
    {
        const int sibling = freePort();
        std::map<std::string, std::string> all {
            { "NodeName", "edge-1" },
            { "Zone", "z1" },
            { "Limits.CpuShare", "0.2" },
            { "Limits.MemoryMb", "260" },
            { "Bootstrap", "true" },
            { "BindAddresses.FrontAddress", "127.0.0.1:" + std::to_string(front_) },
            { "BindAddresses.Readiness", "127.0.0.1:" + std::to_string(ready_) },
            { "Ip", "127.0.0.1" },
            { "InternalPortRange.0", std::to_string(sibling) },
            { "SeedNodes", "127.0.0.1:" + std::to_string(sibling) },
            { "Platform.Address", "127.0.0.1:" + std::to_string(store.port()) },
            { "Bounds.GracePeriodS", "6" },
            { "Bounds.RevokeMs", "5000" },
            { "Bounds.ConfigDeadlineMs", "2000" },
            { "Bounds.DrainTimeoutMs", "2000" },
            { "Bounds.EvacuateMs", "5000" },
        };
        for (const auto &[name, value] : values)
            all[name] = value;
        std::ifstream in("deploy/settings.ini");
        const std::string text((std::istreambuf_iterator<char>(in)), {});
        // The port of the metrics is fixed in the template; a free one is used here.
        const std::string settings = replaced(rendered(text, all), "127.0.0.1:9464",
                                              "127.0.0.1:" + std::to_string(freePort()));
        std::ofstream(folder_ + "/boot.ini") << settings;
        start();
    }

    ~Entry() { end(); }

    /// Ends the process and removes its folder.
    void end()
    {
        if (pid_ < 0)
            return;
        kill(SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
        std::filesystem::remove_all(folder_);
    }

    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    void kill(int signal) const { ::kill(pid_, signal); }
    [[nodiscard]] int front() const { return front_; }

    [[nodiscard]] bool isAlive() const { return waitpid(pid_, nullptr, WNOHANG) == 0; }

    /// @return whether the process says within @p seconds that it is ready.
    [[nodiscard]] bool waitReady(double seconds) const
    {
        const double until = nowS() + seconds;
        while (nowS() < until) {
            const int fd = connectTo(ready_);
            if (fd >= 0) {
                Reader reader(fd);
                sendAll(fd, "GET /pimentostage/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                const auto answer = readAnswer(reader, nowS() + 1);
                close(fd);
                if (answer && answer->status_ == 200)
                    return true;
            }
            sleepS(0.05);
        }
        return false;
    }

private:
    static std::string makeFolder()
    {
        std::string path = std::filesystem::temp_directory_path() / "review-2-XXXXXX";
        if (!mkdtemp(path.data()))
            std::exit(2);
        return path;
    }

    void start()
    {
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // if the script is ended from outside
        const int log = open((folder_ + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        dup2(log, 1);
        dup2(log, 2);
        const std::string variable = "PIMENTOSTAGE_CONFIG=" + folder_ + "/boot.ini";
        const char *program = "target/pimentostage-entry";
        char *arguments[] = { const_cast<char *>(program), nullptr };
        char *environment[] = { const_cast<char *>(variable.c_str()), nullptr };
        execve(program, arguments, environment);
        _exit(127);
    }

    const std::string folder_;
    const int front_;
    const int ready_;
    pid_t pid_ = -1;
};

/// Ends the case. The threads of the stand-ins are not waited for.
[[noreturn]] inline void finish(const std::vector<Entry *> &entries, int code)
{
    for (Entry *entry : entries)
        entry->end();
    _exit(code);
}

inline Json service(const std::string &name)
{
    return { { "Name", name },     { "HealthCheckPath", "/health" }, { "MaxConnections", 110 },
             { "Protocol", "h1" }, { "Tls", false },                 { "WarmupS", 3.0 },
             { "WarmupPerS", 6.6 } };
}

inline Json route(const std::string &name, const std::string &prefix, const std::string &to,
                  const std::string &type, int timeoutMs, int targetMs)
{
    return { { "Name", name },
             { "PathPrefix", prefix },
             { "RouteType", type },
             { "TimeoutMs", timeoutMs },
             { "TargetLatencyMs", targetMs },
             { "Priority", 1 },
             { "Service", to },
             { "MaxAttempts", 2 },
             { "Public", false } };
}

/// A config with one tenant, whose key is "key-of-t1", and routes of the host "shop.example".
inline Json config(const std::vector<std::string> &services, const Json &routes)
{
    Json list = Json::array();
    for (const std::string &name : services)
        list.push_back(service(name));
    return { { "Version", 7 },
             { "Services", list },
             { "Limits",
               { { "MaxHeaderBytes", 16384 },
                 { "MaxBodyBytes", 67108864 },
                 { "HeaderTimeoutMs", 3000 },
                 { "IdleTimeoutMs", 15000 } } },
             { "Tenants",
               Json::array({ { { "Name", "t1" },
                               { "ApiKeys", Json::array({ "key-of-t1" }) },
                               { "Priority", 1 },
                               { "RatePerS", 500 },
                               { "Burst", 500 } } }) },
             { "VirtualHosts",
               Json::array({ { { "Host", "shop.example" }, { "Paths", routes } } }) } };
}

/// @return the head of a request without its framing headers and the empty line.
inline std::string head(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: shop.example\r\nPimentostage-Request-Id: " + id
           + "\r\nPimentostage-Deadline-Ms: " + std::to_string(deadlineMs)
           + "\r\nPimentostage-Key: key-of-t1\r\n";
}

} // namespace stage
