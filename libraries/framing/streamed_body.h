// SPDX-License-Identifier: BSD-2-Clause
// A Beast body type that collects bytes as they arrive, so that they can be consumed before the body is complete.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace shedhill::framing {

struct streamed_body {
    struct value_type {
        std::string content;
    };

    class reader {
    public:
        template <bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& value)
            : m_value(value)
        {
        }

        // Reserves nothing, because the peer may announce any length.
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

} // namespace shedhill::framing
