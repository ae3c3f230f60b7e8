// SPDX-License-Identifier: BSD-2-Clause
// Implements sockets with POSIX calls.
#include "review/stand_ins/net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace shedhill::review {

namespace {

constexpr char const* folder = "review/stand_ins/";

std::string to_lower(std::string text)
{
    std::ranges::transform(
        text, text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

sockaddr_in to_system_address(std::string const& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listen_at(std::string const& ip, int port)
{
    auto const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = to_system_address(ip, port);
    constexpr int backlog = 256;
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0
        && ::listen(descriptor, backlog) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

int port_of(int descriptor)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::chrono::steady_clock::time_point const g_started = std::chrono::steady_clock::now();

} // namespace

std::string platform_name(std::string const& word)
{
    static std::map<std::string, std::string> const names = [] {
        std::map<std::string, std::string> read;
        std::ifstream file(std::string(folder) + "names.txt");
        for (std::string line; std::getline(file, line);) {
            std::istringstream words(line);
            std::string key;
            std::string value;
            if (words >> key >> value)
                read[key] = value;
        }
        return read;
    }();
    return names.at(word);
}

std::string fill_template(std::string const& file, std::map<std::string, std::string> const& words)
{
    std::ifstream input(folder + file);
    std::string text { std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>() };
    for (auto const& [word, value] : words) {
        auto const gap = "@" + word + "@";
        for (auto at = text.find(gap); at != std::string::npos; at = text.find(gap))
            text.replace(at, gap.size(), value);
    }
    return text;
}

std::string loopback_ip(int number)
{
    constexpr int values = 200;
    auto const own = static_cast<int>(getpid());
    return "127." + std::to_string(20 + own % values) + "." + std::to_string(1 + own / values % values) + "."
        + std::to_string(number);
}

int free_port(std::string const& ip)
{
    auto const descriptor = listen_at(ip, 0);
    auto const port = port_of(descriptor);
    ::close(descriptor);
    return port;
}

void sleep_for(milliseconds time) { std::this_thread::sleep_for(time); }

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - g_started).count();
}

std::string message::field(std::string const& name) const
{
    auto const wanted = to_lower(name);
    for (auto const& [key, value] : fields) {
        if (to_lower(key) == wanted)
            return value;
    }
    return {};
}

std::string message::word(int number) const
{
    std::istringstream words(start);
    std::string found;
    for (int index = 0; index <= number; ++index)
        words >> found;
    return found;
}

connection::~connection() { ::close(m_descriptor); }

int connection::open(std::string const& address, int receive_buffer)
{
    auto const colon = address.find(':');
    auto target = to_system_address(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    auto const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

bool connection::write(std::string const& bytes) const
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        auto const count = ::send(m_descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::read_some()
{
    std::array<char, 16384> bytes {};
    auto const count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count == 0)
        m_error = "the connection was closed";
    if (count < 0)
        m_error = errno == EAGAIN ? "nothing arrived" : std::string(std::strerror(errno));
    if (count <= 0)
        return false;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::read_head(message& received)
{
    auto end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!read_some())
            return false;
        end = m_buffer.find("\r\n\r\n");
    }
    std::istringstream lines(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    received = {};
    std::getline(lines, received.start);
    if (received.start.ends_with('\r'))
        received.start.pop_back();
    for (std::string line; std::getline(lines, line);) {
        if (line.ends_with('\r'))
            line.pop_back();
        auto const colon = line.find(':');
        auto const begin = line.find_first_not_of(' ', colon + 1);
        received.fields.emplace_back(
            line.substr(0, colon), begin == std::string::npos ? std::string() : line.substr(begin));
    }
    return true;
}

bool connection::read_body(message& received)
{
    auto const length = received.field("Content-Length");
    auto const size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size) {
        if (!read_some()) {
            received.body = std::exchange(m_buffer, {});
            return false;
        }
    }
    received.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

void connection::limit_reads(milliseconds time) const
{
    constexpr std::int64_t ms_per_second = 1000;
    timeval limit {};
    limit.tv_sec = time.count() / ms_per_second;
    limit.tv_usec = time.count() % ms_per_second * ms_per_second;
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

void connection::shut_down() const { ::shutdown(m_descriptor, SHUT_RDWR); }

server::server(std::string const& ip, serve_function serve)
    : m_descriptor(listen_at(ip, 0))
    , m_address(ip + ":" + std::to_string(port_of(m_descriptor)))
    , m_serve(std::move(serve))
    , m_acceptor([this] { accept_connections(); })
{
}

server::~server()
{
    stop();
    m_acceptor.join();
    for (auto& thread : m_threads)
        thread.join();
    ::close(m_descriptor);
}

void server::stop()
{
    if (m_is_stopped.exchange(true))
        return;
    ::shutdown(m_descriptor, SHUT_RDWR);
    std::scoped_lock const lock(m_mutex);
    for (auto* peer : m_open)
        peer->shut_down();
}

void server::accept_connections()
{
    while (!m_is_stopped) {
        auto const descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        int const enabled = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        m_threads.emplace_back([this, descriptor] { serve_one(descriptor); });
    }
}

void server::serve_one(int descriptor)
{
    connection peer(descriptor);
    {
        std::scoped_lock const lock(m_mutex);
        m_open.push_back(&peer);
    }
    if (!m_is_stopped)
        m_serve(peer);
    std::scoped_lock const lock(m_mutex);
    std::erase(m_open, &peer);
}

} // namespace shedhill::review
