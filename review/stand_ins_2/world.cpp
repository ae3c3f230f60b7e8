// SPDX-License-Identifier: BSD-2-Clause
// Implements the stand-ins with blocking sockets and one thread for each connection.
#include "review/stand_ins_2/world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/json.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

namespace json = boost::json;

constexpr std::size_t read_size = 65536;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

std::map<std::string, std::string> read_names()
{
    std::map<std::string, std::string> names;
    std::ifstream file("review/stand_ins_2/names.txt");
    for (std::string word, name; file >> word >> name;)
        names[word] = name;
    return names;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

sockaddr_in to_system_address(std::string const& address)
{
    sockaddr_in system_address {};
    system_address.sin_family = AF_INET;
    auto const colon = address.rfind(':');
    system_address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &system_address.sin_addr);
    return system_address;
}

int free_port(std::string const& host)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = to_system_address(host + ":0");
    socklen_t size = sizeof(address);
    (void)::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
    (void)::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

void set_option(int descriptor, int level, int name, int value)
{
    (void)::setsockopt(descriptor, level, name, &value, sizeof(value));
}

std::string encode_base64(std::string const& bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned digit_bits = 6;
    constexpr unsigned byte_bits = 8;
    constexpr unsigned mask = 63;
    constexpr std::size_t group = 4;
    std::string text;
    unsigned held = 0;
    unsigned bits = 0;
    for (unsigned char const byte : bytes) {
        held = (held << byte_bits) | byte;
        for (bits += byte_bits; bits >= digit_bits; bits -= digit_bits)
            text += digits[(held >> (bits - digit_bits)) & mask];
    }
    if (bits > 0)
        text += digits[(held << (digit_bits - bits)) & mask];
    while (text.size() % group != 0)
        text += '=';
    return text;
}

std::map<std::string, std::string> query_of(std::string const& target)
{
    std::map<std::string, std::string> query;
    auto start = target.find('?');
    while (start != std::string::npos) {
        auto const end = target.find('&', start + 1);
        auto const item = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        auto const equals = item.find('=');
        query[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
        start = end;
    }
    return query;
}

} // namespace

std::string const& name_of(std::string const& word)
{
    static auto const names = read_names();
    return names.at(word);
}

record::record(std::string const& path)
    : m_path(path)
    , m_begun_at(clock::now())
{
    std::ofstream(m_path, std::ios::trunc) << "";
}

void record::write(std::string const& line)
{
    std::lock_guard const lock(m_mutex);
    auto const since = std::chrono::duration_cast<milliseconds>(clock::now() - m_begun_at).count();
    std::ofstream(m_path, std::ios::app) << since << " ms  " << line << '\n';
}

std::string message::field(std::string const& name) const
{
    auto const found = fields.find(lower(name));
    return found == fields.end() ? std::string() : found->second;
}

std::string message::target() const
{
    auto const space = start_line.find(' ');
    return start_line.substr(space + 1, start_line.rfind(' ') - space - 1);
}

int message::status() const
{
    auto const space = start_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space);
}

connection::connection(int descriptor)
    : m_descriptor(descriptor)
{
}

connection::~connection() { ::close(m_descriptor); }

bool connection::write(std::string const& bytes)
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

bool connection::fill(milliseconds limit)
{
    pollfd state { m_descriptor, POLLIN, 0 };
    if (::poll(&state, 1, static_cast<int>(limit.count())) != 1)
        return false;
    std::array<char, read_size> buffer {};
    auto const count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return false;
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

std::size_t connection::read_raw(std::string& into, std::size_t most, milliseconds limit)
{
    pollfd state { m_descriptor, POLLIN, 0 };
    if (::poll(&state, 1, static_cast<int>(limit.count())) != 1)
        return 0;
    std::string buffer(most, '\0');
    auto const count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return 0;
    into.append(buffer, 0, static_cast<std::size_t>(count));
    return static_cast<std::size_t>(count);
}

bool connection::has_ended() const
{
    char next = 0;
    return ::recv(m_descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool connection::read_head(message& into, milliseconds limit)
{
    auto const until = clock::now() + limit;
    auto const more = [&] {
        auto const left = std::chrono::duration_cast<milliseconds>(until - clock::now());
        return left.count() > 0 && fill(left);
    };
    constexpr std::string_view head_end = "\r\n\r\n";
    constexpr std::string_view line_end = "\r\n";
    std::size_t end = 0;
    while ((end = m_input.find(head_end)) == std::string::npos) {
        if (!more())
            return false;
    }
    into = {};
    std::istringstream lines(m_input.substr(0, end + line_end.size()));
    m_input.erase(0, end + head_end.size());
    std::getline(lines, into.start_line, '\r');
    for (std::string line; std::getline(lines, line, '\r');) {
        auto const colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto const value = line.find_first_not_of(' ', colon + 1);
        into.fields[lower(line.substr(1, colon - 1))] = value == std::string::npos ? "" : line.substr(value);
    }
    return true;
}

std::size_t connection::take(std::string& into, std::size_t most, milliseconds limit)
{
    if (m_input.empty())
        return read_raw(into, most, limit);
    auto const taken = std::min(most, m_input.size());
    into.append(m_input, 0, taken);
    m_input.erase(0, taken);
    return taken;
}

bool connection::read(message& into, milliseconds limit)
{
    auto const until = clock::now() + limit;
    auto const more = [&] {
        auto const left = std::chrono::duration_cast<milliseconds>(until - clock::now());
        return left.count() > 0 && fill(left);
    };
    constexpr std::string_view line_end = "\r\n";
    if (!read_head(into, limit))
        return false;
    if (into.field("transfer-encoding") == "chunked") {
        for (;;) {
            auto line = m_input.find(line_end);
            while (line == std::string::npos) {
                if (!more())
                    return false;
                line = m_input.find(line_end);
            }
            auto const size = std::stoul(m_input, nullptr, hexadecimal);
            auto const whole = line + line_end.size() + size + line_end.size();
            while (m_input.size() < whole) {
                if (!more())
                    return false;
            }
            into.body += m_input.substr(line + line_end.size(), size);
            m_input.erase(0, whole);
            if (size == 0)
                return true;
        }
    }
    auto const length = std::strtoul(into.field("content-length").c_str(), nullptr, decimal);
    while (m_input.size() < length) {
        if (!more())
            return false;
    }
    into.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return true;
}

std::unique_ptr<connection> connect_to(std::string const& address, int segment_size)
{
    constexpr int small_window = 4096;
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (segment_size > 0) {
        set_option(descriptor, IPPROTO_TCP, TCP_MAXSEG, segment_size);
        set_option(descriptor, SOL_SOCKET, SO_RCVBUF, small_window);
    }
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    auto target = to_system_address(address);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

server::server(std::string const& host, handler handle, bool heads_only)
    : m_handle(std::move(handle))
    , m_heads_only(heads_only)
{
    constexpr int backlog = 256;
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = to_system_address(host + ":0");
    socklen_t size = sizeof(address);
    (void)::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), size);
    (void)::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    (void)::listen(m_descriptor, backlog);
    m_address = host + ":" + std::to_string(ntohs(address.sin_port));
    m_thread = std::thread([this] { accept_all(); });
}

server::~server()
{
    m_is_over = true;
    ::shutdown(m_descriptor, SHUT_RDWR);
    m_thread.join();
    ::close(m_descriptor);
}

void server::accept_all()
{
    while (!m_is_over) {
        int const descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        std::thread([handle = m_handle, heads_only = m_heads_only, peer = std::make_shared<connection>(descriptor)] {
            constexpr milliseconds idle_time { 120000 };
            message request;
            while ((heads_only ? peer->read_head(request, idle_time) : peer->read(request, idle_time))
                && handle(request, *peer)) { }
        }).detach();
    }
}

bool respond(connection& peer, int status, std::string const& fields, std::string const& body)
{
    return peer.write("HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

store::store(std::string const& host)
    : m_server(std::make_unique<server>(
        host, [this](message const& request, connection& peer) { return serve(request, peer); }))
{
}

void store::put(std::string const& table, std::string const& key, std::string const& value)
{
    std::lock_guard const lock(m_mutex);
    m_tables[table][key] = { encode_base64(value), ++m_version, false };
    m_changed.notify_all();
}

void store::remove(std::string const& table, std::string const& key)
{
    std::lock_guard const lock(m_mutex);
    m_tables[table][key] = { {}, ++m_version, true };
    m_changed.notify_all();
}

std::string store::rows_since(std::string const& table, std::uint64_t version, bool includes_gone) const
{
    auto const found = m_tables.find(table);
    if (found == m_tables.end())
        return {};
    std::vector<std::pair<std::uint64_t, json::object>> changed;
    for (auto const& [key, entry] : found->second) {
        if (entry.version <= version || (entry.is_gone && !includes_gone))
            continue;
        json::object one { { "table", table }, { "part", "" }, { name_of("key"), key }, { "ver", entry.version } };
        if (entry.is_gone)
            one["gone"] = true;
        else
            one["value"] = entry.value;
        changed.emplace_back(entry.version, std::move(one));
    }
    if (includes_gone)
        std::sort(
            changed.begin(), changed.end(), [](auto const& one, auto const& two) { return one.first < two.first; });
    std::string rows;
    for (auto const& [number, one] : changed)
        rows += (rows.empty() ? "" : ",") + json::serialize(one);
    return rows;
}

std::string store::page(std::string const& rows) const
{
    auto const now = std::chrono::duration_cast<milliseconds>(clock::now() - m_begun_at).count();
    return R"({"rows":[)" + rows + R"(],"more":false,"ver":)" + std::to_string(m_version) + R"(,"now_ms":)"
        + std::to_string(now) + "}";
}

bool store::serve(message const& request, connection& peer)
{
    auto const target = request.target();
    auto const query = query_of(target);
    if (target.rfind(name_of("change_rows"), 0) == 0)
        return change(request, peer);
    if (target.rfind(name_of("watch_rows"), 0) == 0)
        return feed(query, peer);
    std::string body;
    {
        std::lock_guard const lock(m_mutex);
        body = page(query.count("source") != 0 ? std::string() : rows_since(query.at("table"), 0, false));
    }
    return respond(peer, 200, "Content-Type: application/json\r\n", body);
}

bool store::feed(std::map<std::string, std::string> const& query, connection& peer)
{
    std::string body;
    {
        std::unique_lock lock(m_mutex);
        auto const since = std::stoull(query.at(name_of("since")));
        auto const until = clock::now() + milliseconds(std::stoll(query.at("wait_ms")));
        std::string rows = rows_since(query.at("table"), since, true);
        while (rows.empty() && m_changed.wait_until(lock, until) == std::cv_status::no_timeout)
            rows = rows_since(query.at("table"), since, true);
        body = page(rows);
    }
    return respond(peer, 200, "Content-Type: application/json\r\n", body);
}

bool store::change(message const& request, connection& peer)
{
    auto const body = json::parse(request.body).as_object();
    std::string answer;
    int status = 200;
    {
        std::lock_guard const lock(m_mutex);
        auto const key_of = [](json::object const& entry) { return std::string(entry.at(name_of("key")).as_string()); };
        auto const table_of = [](json::object const& entry) { return std::string(entry.at("table").as_string()); };
        for (auto const& expected : body.at(name_of("expected_version")).as_array()) {
            auto const& entry = expected.as_object();
            auto const& current = m_tables[table_of(entry)][key_of(entry)];
            if ((current.is_gone ? 0 : current.version) != entry.at("ver").to_number<std::uint64_t>())
                status = 412;
        }
        if (status == 200) {
            ++m_version;
            for (auto const& put : body.at("put").as_array()) {
                auto const& entry = put.as_object();
                m_tables[table_of(entry)][key_of(entry)]
                    = { std::string(entry.at("value").as_string()), m_version, false };
            }
            for (auto const& removed : body.at("remove").as_array()) {
                auto const& entry = removed.as_object();
                m_tables[table_of(entry)][key_of(entry)] = { {}, m_version, true };
            }
            m_changed.notify_all();
        }
        answer = page({});
    }
    return respond(peer, status, "Content-Type: application/json\r\n", answer);
}

router::router(std::string const& host, std::string const& folder, std::string const& store_address, int memory_mb)
    : m_callers(host + ":" + std::to_string(free_port(host)))
    , m_ready(host + ":" + std::to_string(free_port(host)))
{
    auto const control = host + ":" + std::to_string(free_port(host));
    json::object const settings { { "node_name", "edge-a-1" }, { "role", "router" }, { "machine_class", "edge" },
        { "ip", host }, { "zone", "a" }, { "region", "r" }, { "zones", json::object { { "a", "r" } } },
        { "listen", json::object { { "frontend", m_callers }, { "ready", m_ready }, { "control_plane", control } } },
        { "port_range", json::array { 7400, 7415 } }, { "bootstrap", true },
        { "limits",
            json::object { { "cpu_quota", 0.19 }, { "cpu_cores", 1 }, { "memory_mb", memory_mb }, { "max_fds", 4100 },
                { "bandwidth_mbps", 1000.0 }, { "disk_mb", 0 } } },
        { "bounds",
            json::object { { "grace_s", 8 }, { "drain_ms", 3000 }, { "retry_budget_ratio", 0.2 },
                { "retry_window_s", 10 }, { "retry_slack", 92 }, { "quota_window_s", 4 } } },
        { "platform", json::object { { "address", store_address }, { "form", "table" } } } };
    auto const path = folder + "/settings-" + host + ".json";
    std::ofstream(path) << json::serialize(settings);
    std::ifstream deploy("deploy/system.toml");
    std::vector<std::string> words;
    for (std::string line; std::getline(deploy, line);) {
        if (line.rfind("run = \"", 0) != 0)
            continue;
        std::istringstream command(line.substr(line.find('"') + 1, line.rfind('"') - line.find('"') - 1));
        for (std::string word; command >> word;)
            words.push_back(word);
    }
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    auto variable = name_of("settings_variable") + "=" + path;
    std::array<char*, 2> environment { variable.data(), nullptr };
    auto const log = folder + "/router-" + host + ".log";
    m_process = ::fork();
    if (m_process == 0) {
        // The router ends with this process, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (std::freopen(log.c_str(), "w", stdout) != nullptr)
            ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(127);
    }
}

router::~router()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void router::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

bool router::is_running()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process > 0;
}

bool router::wait_until_ready(milliseconds limit) const
{
    constexpr milliseconds pause { 50 };
    constexpr milliseconds answer_time { 500 };
    for (auto const until = clock::now() + limit; clock::now() < until; std::this_thread::sleep_for(pause)) {
        auto const peer = connect_to(m_ready);
        message answer;
        if (peer && peer->write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") && peer->read(answer, answer_time)
            && answer.status() == 200)
            return true;
    }
    return false;
}

std::string loopback_host(int number)
{
    constexpr int part_size = 250;
    auto const process = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + number) + "." + std::to_string(1 + process / part_size % part_size) + "."
        + std::to_string(1 + process % part_size);
}

std::string temporary_folder()
{
    struct folder {
        std::string path { (std::filesystem::temp_directory_path() / "shedhill-review-XXXXXX").string() };
        folder() { (void)::mkdtemp(path.data()); }
        folder(folder const&) = delete;
        folder& operator=(folder const&) = delete;
        ~folder()
        {
            if (std::getenv("KEEP") == nullptr)
                std::filesystem::remove_all(path);
        }
    };
    static folder const made;
    return made.path;
}

bool is_without_trouble()
{
    auto const* const trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

} // namespace review
