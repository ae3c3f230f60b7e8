// SPDX-License-Identifier: BSD-2-Clause
// Stand-ins for the users' platform, for the cases of the second review: the store, replicas and callers in one
// process, and routers as separate processes, started with the command of the deploy file. All addresses are loopback
// addresses. The names of the platform's protocol are in names.txt.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// Returns the platform's name for a word of names.txt.
std::string const& name_of(std::string const& word);

// The record of a run: what was sent, answered and run, one line each.
class record {
public:
    explicit record(std::string const& path);
    void write(std::string const& line);

private:
    std::mutex m_mutex;
    std::string m_path;
    clock::time_point m_begun_at;
};

// An HTTP message. The names of its fields are in lower case.
struct message {
    std::string start_line;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string const& name) const;
    // The path of a request, and the status of an answer.
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

// A connected socket that is used by one thread.
class connection {
public:
    explicit connection(int descriptor);
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection();

    [[nodiscard]] bool write(std::string const& bytes);
    // Reads one message. Returns false if the connection ended first or nothing came for the time limit.
    [[nodiscard]] bool read(message& into, milliseconds limit);
    // Reads a message's head; its body is left to take().
    [[nodiscard]] bool read_head(message& into, milliseconds limit);
    // Takes at most this many bytes of what follows; 0 at the end or after the time limit.
    std::size_t take(std::string& into, std::size_t most, milliseconds limit);
    // Reads at most this many bytes of an answer as they are; 0 at the end or after the time limit.
    std::size_t read_raw(std::string& into, std::size_t most, milliseconds limit);
    // Returns whether the peer has closed its end.
    [[nodiscard]] bool has_ended() const;

private:
    [[nodiscard]] bool fill(milliseconds limit);

    int m_descriptor;
    std::string m_input;
};

// Connects to a loopback address. With `segment_size` above 0 the caller's link has segments of this size and a small
// window, like a link of a network; the loopback interface has segments of 64 KiB.
std::unique_ptr<connection> connect_to(std::string const& address, int segment_size = 0);

// Serves each connection on its own thread.
class server {
public:
    // Handles a request. Returns whether the connection stays open.
    using handler = std::function<bool(message const& request, connection& peer)>;

    // With `heads_only` the handler takes the bodies itself.
    server(std::string const& host, handler handle, bool heads_only = false);
    server(server const&) = delete;
    server& operator=(server const&) = delete;
    ~server();
    [[nodiscard]] std::string const& address() const { return m_address; }

private:
    void accept_all();

    handler m_handle;
    bool m_heads_only;
    int m_descriptor { -1 };
    std::string m_address;
    std::atomic<bool> m_is_over { false };
    std::thread m_thread;
};

// The platform's store: rows, and the feeds of their changes.
class store {
public:
    explicit store(std::string const& host);
    void put(std::string const& table, std::string const& key, std::string const& value);
    void remove(std::string const& table, std::string const& key);
    [[nodiscard]] std::string const& address() const { return m_server->address(); }

private:
    struct row {
        // In base64, as on the wire.
        std::string value;
        std::uint64_t version { 0 };
        bool is_gone { false };
    };
    bool serve(message const& request, connection& peer);
    std::string rows_since(std::string const& table, std::uint64_t version, bool includes_gone) const;
    bool change(message const& request, connection& peer);
    bool feed(std::map<std::string, std::string> const& query, connection& peer);
    std::string page(std::string const& rows) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version { 0 };
    clock::time_point m_begun_at { clock::now() };
    std::unique_ptr<server> m_server;
};

// A router process on a loopback host of its own, with the command of the deploy file.
class router {
public:
    router(std::string const& host, std::string const& folder, std::string const& store_address, int memory_mb = 260);
    router(router const&) = delete;
    router& operator=(router const&) = delete;
    ~router();
    [[nodiscard]] bool wait_until_ready(milliseconds limit) const;
    [[nodiscard]] std::string const& callers() const { return m_callers; }
    [[nodiscard]] bool is_running();
    // Sends a signal to the process.
    void signal(int number) const;

private:
    std::string m_callers;
    std::string m_ready;
    pid_t m_process { -1 };
};

// Returns a loopback host that no other run uses at this time, from 127.1.0.1 on.
std::string loopback_host(int number);

bool respond(connection& peer, int status, std::string const& fields, std::string const& body);

// Returns the path of a temporary folder, which is removed at the end of the process.
std::string temporary_folder();

// Whether the run is to leave the disruption out.
bool is_without_trouble();

} // namespace review
