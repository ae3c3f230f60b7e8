// SPDX-License-Identifier: BSD-2-Clause
// Blocking sockets, HTTP messages and a small server, from which the review's stand-ins and clients are made.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace shedhill::review {

using milliseconds = std::chrono::milliseconds;

// Returns the platform's name for a word of names.txt.
std::string platform_name(std::string const& word);
// Returns the text of a file beside names.txt, in which each @WORD@ is replaced.
std::string fill_template(std::string const& file, std::map<std::string, std::string> const& words);
// Returns an address of the loopback range that this run uses alone.
std::string loopback_ip(int number);
// Returns a port that is free at this address now.
int free_port(std::string const& ip);
void sleep_for(milliseconds time);
// Milliseconds since the start of the program.
std::int64_t now_ms();

struct message {
    // The request line or the status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Returns the value of the first field of this name, whose case does not matter; empty if there is none.
    [[nodiscard]] std::string field(std::string const& name) const;
    // Returns the word of this number in the first line.
    [[nodiscard]] std::string word(int number) const;
};

class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    // Returns a descriptor that is connected to the address, or -1. A receive buffer of 0 bytes leaves the system's
    // own.
    static int open(std::string const& address, int receive_buffer = 0);

    bool write(std::string const& bytes) const;
    // Reads until the buffer holds a whole head. Returns false if the connection ends before.
    bool read_head(message& received);
    // Reads the rest of a body that has a length or ends with the connection. Returns whether it is whole.
    bool read_body(message& received);
    bool read_message(message& received) { return read_head(received) && read_body(received); }
    // Limits the time for which a read waits.
    void limit_reads(milliseconds time) const;
    // Ends both directions at once, while another thread may be reading.
    void shut_down() const;
    // Why the last read or write failed.
    [[nodiscard]] std::string const& error() const { return m_error; }

private:
    bool read_some();

    int m_descriptor;
    std::string m_buffer;
    std::string m_error;
};

// Serves each connection on a thread of its own.
class server {
public:
    using serve_function = std::function<void(connection& peer)>;

    server(std::string const& ip, serve_function serve);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    [[nodiscard]] std::string const& address() const { return m_address; }
    // Ends like a process that ends: no connection stays, and none is accepted any more.
    void stop();

private:
    void accept_connections();
    void serve_one(int descriptor);

    int m_descriptor { -1 };
    std::string m_address;
    serve_function m_serve;
    std::atomic<bool> m_is_stopped { false };
    std::mutex m_mutex;
    std::vector<connection*> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace shedhill::review
