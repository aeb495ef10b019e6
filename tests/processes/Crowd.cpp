// Clients that send what a caller, a sibling or an operator could send and do not read or finish it
// as those would; for the tests of an entry host's memory and descriptors.
#include "src/sibling/FrameCodec.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace pimentostage;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kBlockBytes = std::size_t { 64 } << 10U;
constexpr int kPollMs = 20;
constexpr int kReceiveBufferBytes = 4096; // of clients that do not read
constexpr auto kReconnectDelay = std::chrono::milliseconds(200);
// Time without a sent byte after which the clients' sending counts as finished: a connection that
// does not fit into the host's backlog is tried again after 1 s.
constexpr auto kQuietTime = std::chrono::milliseconds(2500);

/// What each client sends: head_, then unit_ repeated up to fillBytes_ bytes.
struct Script
{
    std::string head_ {};
    std::string unit_ {};
    std::size_t fillBytes_ = 0;
    bool readsAnswers_ = false;
    bool repeats_ = false; ///< whether an answer is followed by the same request again
};

std::string postHead(const std::string &path, const std::string &length)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + length + "\r\n\r\n";
}

std::string getRequest(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

Script wholeBodies(const std::string &path, std::size_t bytes)
{
    return { postHead(path, "Content-Length: " + std::to_string(bytes)), "b", bytes, true, true };
}

Script shortBodies(const std::string &path, std::size_t bytes)
{
    return { postHead(path, "Content-Length: " + std::to_string(bytes)), "b", bytes - 1 };
}

Script byteChunks(const std::string &path, std::size_t bytes)
{
    const std::string chunk = "1\r\nb\r\n";
    return { postHead(path, "Transfer-Encoding: chunked"), chunk, chunk.size() * bytes };
}

Script shortHeads(const std::string &path, std::size_t bytes)
{
    return { "GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Fill: ", "h", bytes };
}

Script pipelinedRequests(const std::string &path, std::size_t bytes)
{
    return { "", getRequest(path), bytes };
}

Script oneRequest(const std::string &path, std::size_t)
{
    return { getRequest(path) };
}

Script silence(const std::string &, std::size_t)
{
    return {};
}

Script shortFrames(const std::string &, std::size_t bytes)
{
    MemberUpdate self;
    self.zone_ = ZoneName("crowd");
    const std::vector<std::uint8_t> hello = encodeFrame(Hello { self });
    std::string head(hello.begin(), hello.end());
    for (int shift = 24; shift >= 0; shift -= 8)
        head += static_cast<char>((bytes >> static_cast<unsigned>(shift)) & 0xffU);
    return { head, "f", bytes - 1 };
}

// An array of empty arrays: one byte of the frame becomes a value of many bytes.
Script expandingFrames(const std::string &, std::size_t bytes)
{
    Script script = shortFrames("", bytes);
    for (const unsigned shift : { 24U, 16U, 8U, 0U })
        script.head_ += static_cast<char>(((bytes - 5) >> shift) & 0xffU);
    script.head_.insert(script.head_.size() - 4, 1, '\xdd');
    script.unit_ = "\x90";
    script.fillBytes_ = bytes - 5;
    return script;
}

struct Mode
{
    const char *name_;
    Script (*script_)(const std::string &path, std::size_t bytes);
};

constexpr Mode kModes[] = {
    { "whole-bodies", &wholeBodies },
    { "short-bodies", &shortBodies },
    { "byte-chunks", &byteChunks },
    { "short-heads", &shortHeads },
    { "pipelined", &pipelinedRequests },
    { "one-request", &oneRequest },
    { "silent", &silence },
    { "short-frames", &shortFrames },
    { "expanding-frames", &expandingFrames },
};

class Client
{
public:
    Client(std::uint16_t port, const Script &script, const std::string &fill)
        : port_(port)
        , script_(script)
        , fill_(fill)
    { }

    /// @return the events to poll for; connects first if that is due.
    short events(Clock::time_point now)
    {
        if (fd_ < 0 && now >= connectAt_)
            connect();
        if (fd_ < 0)
            return 0;
        const int writes = sent_ < total() ? POLLOUT : 0;
        return static_cast<short>(writes | (script_.readsAnswers_ ? POLLIN : 0));
    }

    /// @return whether bytes were sent.
    bool onEvents(short events, Clock::time_point now)
    {
        if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
            reconnect(now);
            return false;
        }
        if ((events & POLLIN) != 0)
            readAnswer(now);
        return fd_ >= 0 && (events & POLLOUT) != 0 && writeSome(now);
    }

    [[nodiscard]] int fd() const { return fd_; }

private:
    [[nodiscard]] std::size_t total() const { return script_.head_.size() + script_.fillBytes_; }

    void connect()
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd_ < 0)
            return;
        if (!script_.readsAnswers_) {
            setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                       sizeof kReceiveBufferBytes);
        }
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port_);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        sent_ = 0;
        // The result of the connection is seen with the next events.
        [[maybe_unused]] const int started
            = ::connect(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    }

    void reconnect(Clock::time_point now)
    {
        ::close(fd_);
        fd_ = -1;
        connectAt_ = now + kReconnectDelay;
    }

    void readAnswer(Clock::time_point now)
    {
        char buffer[4096];
        const ssize_t size = recv(fd_, buffer, sizeof buffer, 0);
        if (size == 0 || (size < 0 && errno != EAGAIN))
            reconnect(now);
        else if (size > 0 && script_.repeats_ && sent_ == total())
            sent_ = 0;
    }

    bool writeSome(Clock::time_point now)
    {
        const std::size_t headBytes = script_.head_.size();
        const bool isHead = sent_ < headBytes;
        const std::size_t at = isHead ? sent_ : (sent_ - headBytes) % script_.unit_.size();
        const std::string &source = isHead ? script_.head_ : fill_;
        const std::size_t left = isHead ? headBytes - sent_ : total() - sent_;
        const ssize_t size
            = send(fd_, source.data() + at, std::min(left, source.size() - at), MSG_NOSIGNAL);
        if (size < 0 && errno != EAGAIN)
            reconnect(now);
        if (size <= 0)
            return false;
        sent_ += static_cast<std::size_t>(size);
        return true;
    }

    const std::uint16_t port_;
    const Script &script_;
    const std::string &fill_; ///< script_.unit_, repeated
    int fd_ = -1;
    std::size_t sent_ = 0;
    Clock::time_point connectAt_ {};
};

/// Runs the clients until all have been quiet for kQuietTime, or until @p sendTime has passed; then
/// prints "holding" and goes on, without end.
void run(std::vector<Client> &clients, std::chrono::seconds sendTime)
{
    const Clock::time_point begin = Clock::now();
    Clock::time_point lastSentAt = begin;
    bool isHolding = false;
    std::vector<pollfd> polled(clients.size());
    while (true) {
        const Clock::time_point now = Clock::now();
        for (std::size_t i = 0; i < clients.size(); ++i) {
            const short events = clients[i].events(now);
            polled[i] = { clients[i].fd(), events, 0 };
        }
        poll(polled.data(), polled.size(), kPollMs);
        for (std::size_t i = 0; i < clients.size(); ++i) {
            if (polled[i].fd >= 0 && clients[i].onEvents(polled[i].revents, now))
                lastSentAt = now;
        }
        if (!isHolding && (now - lastSentAt > kQuietTime || now - begin > sendTime)) {
            isHolding = true;
            std::cout << "holding" << std::endl;
        }
        // Without pending events poll() returns at once for sockets that failed.
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 7) {
        std::cerr << "Usage: client-crowd MODE PORT CLIENTS BYTES PATH SECONDS\n";
        return 2;
    }
    const auto *mode = std::find_if(std::begin(kModes), std::end(kModes), [&](const Mode &row) {
        return std::strcmp(row.name_, argv[1]) == 0;
    });
    if (mode == std::end(kModes)) {
        std::cerr << "client-crowd: unknown mode " << argv[1] << '\n';
        return 2;
    }
    const Script script = mode->script_(argv[5], std::strtoull(argv[4], nullptr, 10));
    std::string fill;
    while (!script.unit_.empty() && fill.size() < kBlockBytes)
        fill += script.unit_;
    const auto port = static_cast<std::uint16_t>(std::strtoul(argv[2], nullptr, 10));
    std::vector<Client> clients(std::strtoull(argv[3], nullptr, 10), Client(port, script, fill));
    run(clients, std::chrono::seconds(std::strtol(argv[6], nullptr, 10)));
}
