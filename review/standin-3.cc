// Stand-ins for the scripts of the third review: the platform's store, a worker and a raw consumer.
//
//   standin ports N                        prints N free ports of 127.0.0.1
//   standin store PORT DIR                 serves the objects in DIR/KIND/NAME.json (their Spec)
//   standin worker PORT ID LOG             runs each request that is for ID and logs it
//   standin coder PORT ID LOG N            the same, but applies the transfer coding gzip to every
//                                          N-th answer and closes the channel after it
//   standin ask PORT COUNT LOG             sends safe requests one by one and logs what came
//   standin send PORT FILE LOG MS          sends FILE as it is, then logs what comes within MS
//
// All of them listen on or connect to 127.0.0.1 only and end by a signal, or after two minutes.
#include <algorithm>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listenOn(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 128) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    return fd;
}

bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct Request
{
    std::string method_;
    std::string target_;
    std::map<std::string, std::string> headers_;
    std::string body_;

    std::string header(const std::string &name) const
    {
        const auto found = headers_.find(name);
        return found == headers_.end() ? "" : found->second;
    }
};

/// Reads requests whose bodies have a length, as the entry hosts send them.
class Reader
{
public:
    explicit Reader(int fd)
        : fd_(fd)
    { }

    std::optional<Request> next()
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        Request request;
        std::istringstream head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        std::istringstream(line) >> request.method_ >> request.target_;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos
                               ? value.size()
                               : value.find_first_not_of(' '));
            request.headers_[lower(line.substr(0, colon))] = value;
        }
        const std::string lengthText = request.header("content-length");
        const std::size_t length = lengthText.empty() ? 0 : std::stoul(lengthText);
        while (buffer_.size() < length) {
            if (!fill())
                return std::nullopt;
        }
        request.body_ = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return request;
    }

private:
    bool fill()
    {
        char part[16384];
        const ssize_t n = recv(fd_, part, sizeof part, 0);
        if (n <= 0)
            return false;
        buffer_.append(part, static_cast<std::size_t>(n));
        return true;
    }

    const int fd_;
    std::string buffer_;
};

std::string answer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

template <typename Handler>
void serve(int port, Handler handler)
{
    const int listener = listenOn(port);
    while (true) {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd < 0)
            continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([fd, handler] {
            Reader reader(fd);
            while (const auto request = reader.next()) {
                const std::string reply = handler(*request);
                const bool endsChannel = reply.find("\r\nTransfer-Encoding: gzip\r\n") != std::string::npos;
                if (!sendAll(fd, reply) || endsChannel)
                    break;
            }
            close(fd);
        }).detach();
    }
}

/// The platform's store, as PROTOCOL.md describes it.
class Store
{
public:
    explicit Store(const std::string &folder)
    {
        for (const auto &kind : std::filesystem::directory_iterator(folder)) {
            for (const auto &file : std::filesystem::directory_iterator(kind.path())) {
                std::ifstream in(file.path());
                write(kind.path().filename(), file.path().stem(), Json::parse(in));
            }
        }
    }

    std::string handle(const Request &request)
    {
        static const std::string prefix = "/pimentostage/objects/";
        const std::size_t question = std::min(request.target_.find('?'), request.target_.size());
        if (request.target_.rfind(prefix, 0) != 0)
            return reply(404, Json::object());
        const std::string path = request.target_.substr(prefix.size(), question - prefix.size());
        std::map<std::string, std::string> query;
        std::istringstream pairs(
            question < request.target_.size() ? request.target_.substr(question + 1) : "");
        for (std::string pair; std::getline(pairs, pair, '&');) {
            const std::size_t equals = std::min(pair.find('='), pair.size());
            query[pair.substr(0, equals)] = pair.substr(std::min(equals + 1, pair.size()));
        }
        const std::size_t slash = std::min(path.find('/'), path.size());
        const std::string kind = path.substr(0, slash);
        const std::string name = slash < path.size() ? path.substr(slash + 1) : "";
        std::unique_lock lock(mutex_);
        if (request.method_ == "GET" && query.count("Watch"))
            return watch(kind, query, lock);
        if (request.method_ == "GET" && name.empty())
            return list(kind);
        const auto found = objects_.find({ kind, name });
        if (request.method_ == "GET")
            return found == objects_.end() ? reply(404, Json::object()) : reply(200, found->second);
        if (request.method_ == "DELETE")
            return remove(kind, name, query);
        const Json body = Json::parse(request.body_, nullptr, false);
        if (!body.is_object())
            return reply(400, Json::object());
        if (request.method_ == "POST") {
            const std::string created = body["Metadata"]["Name"];
            const auto existing = objects_.find({ kind, created });
            if (existing != objects_.end())
                return reply(409, existing->second);
            return reply(201, write(kind, created, body.value("Spec", Json())));
        }
        if (found == objects_.end())
            return reply(404, Json::object());
        const Json metadata = body.value("Metadata", Json::object());
        if (metadata.contains("Revision")
            && metadata["Revision"] != found->second["Metadata"]["Revision"])
            return reply(409, found->second);
        if (found->second["Spec"] == body.value("Spec", Json()))
            return reply(200, found->second);
        return reply(200, write(kind, name, body.value("Spec", Json())));
    }

private:
    struct Event
    {
        std::uint64_t revision_;
        std::string kind_;
        Json object_;
        bool isDeleted_;
    };

    static std::string reply(int status, const Json &body)
    {
        return answer(status, "Content-Type: application/json\r\n", body.dump());
    }

    Json write(const std::string &kind, const std::string &name, const Json &spec)
    {
        ++revision_;
        Json &object = objects_[{ kind, name }];
        const Json created = object.is_object() ? object["Metadata"]["Created"] : Json(revision_);
        object = { { "Metadata",
                     { { "Name", name },
                       { "Revision", revision_ },
                       { "Created", created },
                       { "Finalizers", Json::array() },
                       { "Deleting", false } } },
                   { "Spec", spec },
                   { "Status", nullptr } };
        events_.push_back({ revision_, kind, object, false });
        changed_.notify_all();
        return object;
    }

    std::string remove(const std::string &kind, const std::string &name,
                       const std::map<std::string, std::string> &query)
    {
        const auto found = objects_.find({ kind, name });
        if (found == objects_.end())
            return reply(404, Json::object());
        const auto revision = query.find("Revision");
        if (revision != query.end()
            && std::stoull(revision->second) != found->second["Metadata"]["Revision"])
            return reply(409, found->second);
        Json object = found->second;
        object["Metadata"]["Revision"] = ++revision_;
        objects_.erase(found);
        events_.push_back({ revision_, kind, object, true });
        changed_.notify_all();
        return reply(200, object);
    }

    std::string list(const std::string &kind) const
    {
        Json items = Json::array();
        for (const auto &[key, object] : objects_) {
            if (key.first == kind)
                items.push_back(object);
        }
        return reply(200, { { "items", items }, { "HasMore", false }, { "AsOf", revision_ } });
    }

    std::string watch(const std::string &kind, std::map<std::string, std::string> &query,
                      std::unique_lock<std::mutex> &lock)
    {
        const std::uint64_t since = std::stoull(query["Watch"]);
        const int waitMs = query.count("WaitMs") ? std::stoi(query["WaitMs"]) : 0;
        const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
        Json events = Json::array();
        while (true) {
            for (const Event &event : events_) {
                if (event.kind_ == kind && event.revision_ > since)
                    events.push_back(
                        { { "Object", event.object_ }, { "Deleted", event.isDeleted_ } });
            }
            if (!events.empty() || Clock::now() >= until)
                break;
            changed_.wait_until(lock, until);
        }
        return reply(200, { { "events", events }, { "AsOf", revision_ } });
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::map<std::pair<std::string, std::string>, Json> objects_;
    std::vector<Event> events_;
};

std::string bytes(std::uint32_t value, int count)
{
    std::string text;
    for (int i = 0; i < count; ++i)
        text += static_cast<char>(value >> (8 * i));
    return text;
}

/// @return a gzip file (RFC 1952) with @p content in one block that is not compressed.
std::string gzipOf(const std::string &content)
{
    std::uint32_t crc = ~0U;
    for (const char c : content) {
        crc ^= static_cast<unsigned char>(c);
        for (int bit = 0; bit < 8; ++bit)
            crc = (crc >> 1) ^ ((crc & 1U) != 0 ? 0xedb88320U : 0U);
    }
    const auto size = static_cast<std::uint32_t>(content.size());
    const std::string head("\x1f\x8b\x08\0\0\0\0\0\0\xff\x01", 11);
    return head + bytes(size, 2) + bytes(~size, 2) + content + bytes(~crc, 4) + bytes(size, 4);
}

std::string bodyFor(const std::string &requestId)
{
    return "done " + requestId + "\n";
}

/// A worker without keys. It runs a request that names it, or names nobody.
/// @param codedEvery if not 0, the answers among which one has the transfer coding gzip.
void runWorker(int port, const std::string &id, const std::string &log, int codedEvery)
{
    static std::mutex mutex;
    static int answers = 0;
    serve(port, [id, log, codedEvery](const Request &request) {
        const std::string requestId = request.header("pimentostage-request-id");
        if (request.target_ == "/health")
            return answer(200, "Pimentostage-Upstream-Instance: " + id + "\r\n", "");
        const std::string expected = request.header("pimentostage-expected-instance");
        if (!expected.empty() && expected != id)
            return answer(421, "Pimentostage-Upstream-Instance: " + id + "\r\n", "");
        if (requestId.empty())
            return answer(400, "Pimentostage-Not-Executed: 1\r\n", "");
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        const std::lock_guard lock(mutex);
        std::ofstream out(log, std::ios::app);
        out << "run " << requestId << ' ' << request.method_ << ' ' << request.target_ << " body "
            << request.body_.size() << std::endl;
        const std::string headers = "Pimentostage-Request-Id: " + requestId
                                    + "\r\nPimentostage-Upstream-Signature: " + id + "." + requestId
                                    + "\r\nPimentostage-Upstream-Load: 0,0,6\r\n";
        if (codedEvery == 0 || ++answers % codedEvery != 0)
            return answer(200, headers, bodyFor(requestId));
        out << "coded " << requestId << std::endl;
        return "HTTP/1.1 200 X\r\n" + headers + "Transfer-Encoding: gzip\r\n\r\n"
               + gzipOf(bodyFor(requestId));
    });
}

/// @return what is received on a new channel to @p port until it is closed.
std::string askOnce(int port, const std::string &request)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    std::string received;
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && sendAll(fd, request)) {
        char part[16384];
        for (ssize_t n = 0; (n = recv(fd, part, sizeof part, 0)) > 0;)
            received.append(part, static_cast<std::size_t>(n));
    }
    close(fd);
    return received;
}

/// Eight consumers, each with one request after the other. The last line of the log is
/// "served N wrong N other N".
int askMany(int port, int count, const std::string &log)
{
    constexpr int kConsumers = 8;
    std::ofstream out(log, std::ios::app);
    std::mutex mutex;
    int sent = 0;
    int served = 0;
    int wrong = 0;
    const auto consume = [&] {
        std::unique_lock lock(mutex);
        while (sent < count) {
            const std::string id = "safe-" + std::to_string(sent++);
            lock.unlock();
            const std::string received = askOnce(
                port, "GET /puka111/" + id + " HTTP/1.1\r\nHost: jepu9.example\r\n"
                          + "Pimentostage-Request-Id: " + id
                          + "\r\nPimentostage-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n");
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            lock.lock();
            const std::size_t end = received.find("\r\n\r\n");
            const bool isSuccess
                = received.rfind("HTTP/1.1 200", 0) == 0 && end != std::string::npos;
            const std::string body = isSuccess ? received.substr(end + 4) : "";
            if (isSuccess && body == bodyFor(id)) {
                ++served;
            } else if (isSuccess) {
                ++wrong;
                out << id << ": a success, with these headers:\n";
                std::istringstream head(received.substr(0, end));
                for (std::string line; std::getline(head, line);)
                    out << "    " << line.substr(0, line.find('\r')) << '\n';
                out << "    body of " << body.size() << " bytes, expected " << bodyFor(id).size()
                    << "; the first ones:" << std::hex;
                for (std::size_t i = 0; i < std::min<std::size_t>(body.size(), 12); ++i)
                    out << ' ' << static_cast<int>(static_cast<unsigned char>(body[i]));
                out << std::dec << '\n';
            }
        }
    };
    std::vector<std::thread> consumers;
    for (int i = 0; i < kConsumers; ++i)
        consumers.emplace_back(consume);
    for (std::thread &consumer : consumers)
        consumer.join();
    out << "served " << served << " wrong " << wrong << " other " << count - served - wrong << '\n';
    return 0;
}

int sendFile(int port, const std::string &file, const std::string &log, int milliseconds)
{
    std::ifstream in(file, std::ios::binary);
    std::stringstream bytes;
    bytes << in.rdbuf();
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return 2;
    sendAll(fd, bytes.str());
    const auto until = Clock::now() + std::chrono::milliseconds(milliseconds);
    std::string received;
    bool isClosed = false;
    while (!isClosed && Clock::now() < until) {
        pollfd readable { fd, POLLIN, 0 };
        if (poll(&readable, 1, 50) <= 0)
            continue;
        char part[16384];
        const ssize_t n = recv(fd, part, sizeof part, 0);
        isClosed = n <= 0;
        if (n > 0)
            received.append(part, static_cast<std::size_t>(n));
    }
    close(fd);
    std::ofstream out(log, std::ios::app);
    std::istringstream lines(received);
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        out << "    " << line << '\n';
    }
    out << (isClosed ? "    (channel closed)\n" : "    (channel open)\n");
    return 0;
}

int printPorts(int count)
{
    std::vector<int> held;
    for (int i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
            return 2;
        getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
        std::cout << ntohs(address.sin_port) << '\n';
        held.push_back(fd);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    alarm(125);
    signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> words(argv + 1, argv + argc);
    const std::string verb = words.empty() ? "" : words[0];
    if (verb == "ports" && words.size() == 2)
        return printPorts(std::stoi(words[1]));
    if (verb == "store" && words.size() == 3) {
        Store store(words[2]);
        serve(std::stoi(words[1]), [&store](const Request &request) { return store.handle(request); });
    }
    if (verb == "worker" && words.size() == 4)
        runWorker(std::stoi(words[1]), words[2], words[3], 0);
    if (verb == "coder" && words.size() == 5)
        runWorker(std::stoi(words[1]), words[2], words[3], std::stoi(words[4]));
    if (verb == "ask" && words.size() == 4)
        return askMany(std::stoi(words[1]), std::stoi(words[2]), words[3]);
    if (verb == "send" && words.size() == 5)
        return sendFile(std::stoi(words[1]), words[2], words[3], std::stoi(words[4]));
    std::cerr << "usage: see the head of the source\n";
    return 2;
}
