// SPDX-License-Identifier: BSD-2-Clause
// Relays one answer from scripted endpoints to a caller over real sockets, and judges what the caller can tell of it.
#pragma once

#include "libraries/relay/exchange.h"
#include "platform/caller_binding.h"
#include "tests/relay/scripted_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shedhill::relay {

// What a caller can tell of an answer by the rules of HTTP/1.1.
enum class caller_view {
    // The answer reached the end that its length or its last chunk marks.
    framed_as_complete,
    // The answer has neither a length nor chunks and ended with its connection, in an orderly way.
    ended_by_close,
    // The answer ended before its framing says, or its connection was reset.
    broken_off,
};

struct received_answer {
    caller_view view { caller_view::broken_off };
    unsigned status { 0 };
    std::string body;
};

// Stands for the dispatcher: every attempt goes to the next scripted endpoint, as long as the answer may be resumed.
class answer_relay final : caller_listener, exchange_owner {
public:
    explicit answer_relay(event_loop& loop)
        : m_loop(loop)
        , m_listener(loop, [this](int descriptor) { accept(descriptor); })
    {
        (void)m_listener.open("127.0.0.1:0");
    }

    // Adds an endpoint that answers its attempt with these bytes.
    void add_endpoint(std::string const& bytes, after_reply then)
    {
        m_endpoints.push_back(std::make_unique<scripted_server>(m_loop));
        m_endpoints.back()->add(bytes, then);
    }

    // Sends the caller's request and returns the answer; empty if the answer has not ended after a few seconds.
    std::optional<received_answer> run(int rounds = max_rounds)
    {
        caller client(m_loop, "127.0.0.1:" + std::to_string(m_listener.port()));
        for (int round = 0; round < rounds && !client.is_over(); ++round) {
            m_loop.run_once(milliseconds(rounds == max_rounds ? 5 : 0));
            m_after_round();
        }
        if (!client.is_over())
            return std::nullopt;
        return client.answer();
    }

    // Sets what is called after each round of the loop.
    void set_after_round(std::function<void()> action) { m_after_round = std::move(action); }

    [[nodiscard]] std::vector<dispatch::attempt_ended> const& attempts() const { return m_attempts; }

private:
    static constexpr int max_rounds = 400;

    using tested_exchange = exchange<platform_binding::caller_binding>;

    class caller final : public io_handler {
    public:
        caller(event_loop& loop, std::string const& address)
            : m_socket(loop, *this)
        {
            m_parser.body_limit(boost::none);
            m_parser.eager(true);
            (void)m_socket.connect(address);
            m_socket.queue("POST /stream/a HTTP/1.1\r\nHost: shop.example\r\nShedhill-Request-Id: r1\r\n"
                           "Content-Length: 0\r\n\r\n");
        }

        [[nodiscard]] bool is_over() const { return m_parser.is_done() || m_end != read_end::drained; }

        [[nodiscard]] received_answer answer()
        {
            received_answer answered;
            bool const was_framed = m_parser.is_done();
            if (was_framed)
                answered.view = caller_view::framed_as_complete;
            boost::system::error_code failure;
            if (!was_framed && m_end == read_end::closed && m_parser.is_header_done()) {
                m_parser.put_eof(failure);
                if (!failure && m_parser.is_done())
                    answered.view = caller_view::ended_by_close;
            }
            answered.status = m_parser.get().result_int();
            answered.body = m_parser.get().body();
            return answered;
        }

    private:
        void on_ready(readiness) override
        {
            if (!m_is_connected) {
                m_is_connected = m_socket.finish_connect();
                (void)m_socket.flush();
                return;
            }
            auto const [bytes, end] = m_socket.read();
            m_unparsed += bytes;
            boost::system::error_code failure;
            while (!m_unparsed.empty() && !m_parser.is_done()) {
                auto const used = m_parser.put(boost::asio::buffer(m_unparsed), failure);
                m_unparsed.erase(0, used);
                if (used == 0)
                    break;
            }
            m_end = end;
            if (is_over())
                m_socket.close();
        }

        socket m_socket;
        bool m_is_connected { false };
        read_end m_end { read_end::drained };
        std::string m_unparsed;
        http::response_parser<http::string_body> m_parser;
    };

    void accept(int descriptor)
    {
        m_connection
            = std::make_shared<caller_connection>(m_loop, 1, static_cast<caller_listener&>(*this), read_limits {});
        m_connection->open(descriptor);
    }

    void on_request(caller_connection&, caller_request request) override
    {
        m_exchange = std::make_unique<tested_exchange>(
            m_loop, static_cast<exchange_owner&>(*this), request_number(1), std::move(request), m_connection);
        start_attempt();
    }
    void on_bad_request(caller_connection&, bad_request const&) override { }
    void on_body_refused(caller_connection&, caller_request const&) override { }
    void on_caller_caught_up(caller_connection&) override
    {
        if (m_exchange)
            m_exchange->resume();
    }
    void on_caller_disconnected(caller_connection&) override { }

    void start_attempt()
    {
        dispatch::send_attempt attempt;
        attempt.request = request_number(1);
        attempt.attempt = attempt_number(static_cast<std::uint32_t>(m_attempts.size() + 1));
        attempt.address = m_endpoints.at(m_attempts.size())->address();
        attempt.endpoint = endpoint_name("e" + std::to_string(m_attempts.size()));
        attempt.time_left = milliseconds(5000);
        attempt.silence_limit = milliseconds(5000);
        m_exchange->start(attempt, std::make_shared<call_connection>(m_loop));
    }

    void on_event(dispatch::event_body event) override
    {
        auto const* const ended = std::get_if<dispatch::attempt_ended>(&event);
        if (ended == nullptr)
            return;
        m_attempts.push_back(*ended);
        m_loop.at_end_of_round([this, end = *ended] { decide(end); });
    }

    void decide(dispatch::attempt_ended const& ended)
    {
        if (ended.end == dispatch::attempt_end::failed)
            return m_exchange->forward_withheld_answer();
        if (dispatch::is_answer(ended.end))
            return;
        if (m_attempts.size() < m_endpoints.size())
            return start_attempt();
        if (ended.has_answer_begun)
            return m_exchange->abort_answer();
        m_exchange->refuse({ request_number(1), 502, dispatch::refusal_reason::attempts_spent, std::nullopt });
    }

    void on_connection_free(dispatch::send_attempt const&, std::shared_ptr<call_connection>) override { }
    [[nodiscard]] bool suspects_requests() const override { return false; }
    void on_exchange_finished(request_number) override { }

    event_loop& m_loop;
    std::function<void()> m_after_round { [] {} };
    listener_socket m_listener;
    std::vector<std::unique_ptr<scripted_server>> m_endpoints;
    std::shared_ptr<caller_connection> m_connection;
    std::unique_ptr<tested_exchange> m_exchange;
    std::vector<dispatch::attempt_ended> m_attempts;
};

} // namespace shedhill::relay
