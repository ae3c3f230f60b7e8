// SPDX-License-Identifier: BSD-2-Clause
// HTTP heads as Boost.Beast parses them, and functions that write heads and chunked bodies.
#pragma once

#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace shedhill::relay {

namespace http = boost::beast::http;

using request_head = http::request_header<>;
using answer_head = http::response_header<>;

inline std::string_view to_view(boost::beast::string_view text) { return { text.data(), text.size() }; }

// Returns the value of a field; empty if the field is missing.
inline std::string_view field_of(http::fields const& fields, std::string_view name)
{
    auto const found = fields.find(boost::beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string_view() : to_view(found->value());
}

// Returns whether the field concerns only one connection or frames a body. Such fields are never forwarded.
bool is_hop_by_hop(http::fields::value_type const& field);

void append_field(std::string& out, std::string_view name, std::string_view value);
void append_status_line(std::string& out, unsigned status, std::string_view reason);

// Append one chunk of a chunked body, and the end of the body.
void append_chunk(std::string& out, std::string_view data);
void append_last_chunk(std::string& out);

// A Beast body type that collects bytes as they arrive, so that they can be consumed before the body is complete.
struct streamed_body {
    struct value_type {
        std::string content;
    };

    class reader {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields>&, value_type& value)
            : m_value(value)
        {
        }

        void init(boost::optional<std::uint64_t> const&, boost::system::error_code& failure) { failure = {}; }

        template <typename ConstBufferSequence>
        std::size_t put(ConstBufferSequence const& buffers, boost::system::error_code& failure)
        {
            failure = {};
            std::size_t copied = 0;
            for (auto const& buffer : boost::beast::buffers_range_ref(buffers)) {
                m_value.content.append(static_cast<char const*>(buffer.data()), buffer.size());
                copied += buffer.size();
            }
            return copied;
        }

        void finish(boost::system::error_code& failure) { failure = {}; }

    private:
        value_type& m_value;
    };
};

} // namespace shedhill::relay
