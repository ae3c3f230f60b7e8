// SPDX-License-Identifier: BSD-2-Clause
// A server on the loopback interface that answers each read with the next bytes of a script. It runs on the test's
// event loop.
#pragma once

#include "libraries/relay/socket.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace shedhill::relay {

enum class after_reply { stay, close, reset };

struct scripted_reply {
    std::string bytes;
    after_reply then { after_reply::stay };
};

class scripted_server {
public:
    explicit scripted_server(event_loop& loop)
        : m_loop(loop)
        , m_listener(loop, [this](int descriptor) { accept(descriptor); })
    {
        (void)m_listener.open("127.0.0.1:0");
    }

    // Adds a reply. Replies are sent in order, one for each read on any connection.
    void add(std::string bytes, after_reply then = after_reply::stay)
    {
        m_replies.push_back({ std::move(bytes), then });
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }
    [[nodiscard]] std::string const& received() const { return m_received; }
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
    // Sends unsolicited bytes on the newest connection.
    void send(std::string const& bytes) { m_connections.back()->send(bytes); }

private:
    class connection final : public io_handler {
    public:
        connection(scripted_server& server, int descriptor)
            : m_server(server)
            , m_socket(server.m_loop, *this)
        {
            m_socket.adopt(descriptor);
        }

        void send(std::string const& bytes)
        {
            m_socket.queue(bytes);
            (void)m_socket.flush();
        }

    private:
        void on_ready(readiness ready) override
        {
            if (ready.is_writable && !m_socket.flush())
                return m_socket.close();
            if (!ready.is_readable && !ready.is_closed)
                return;
            auto const [bytes, end] = m_socket.read();
            if (end != read_end::drained)
                return m_socket.close();
            m_server.m_received += bytes;
            if (m_server.m_replies.empty())
                return;
            auto const reply = m_server.m_replies.front();
            m_server.m_replies.pop_front();
            send(reply.bytes);
            if (reply.then == after_reply::close)
                m_socket.close();
            else if (reply.then == after_reply::reset)
                m_socket.reset();
        }

        scripted_server& m_server;
        socket m_socket;
    };

    void accept(int descriptor) { m_connections.push_back(std::make_unique<connection>(*this, descriptor)); }

    event_loop& m_loop;
    listener_socket m_listener;
    std::deque<scripted_reply> m_replies;
    std::vector<std::unique_ptr<connection>> m_connections;
    std::string m_received;
};

} // namespace shedhill::relay
