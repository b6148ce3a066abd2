#pragma once

#include "corianderscale/Protocol/JsonReader.h"

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace coriander {

/**
 * Decodes @p text as a message and aborts on a fault. An accepted message must stay the same when it is encoded and
 * decoded again; otherwise its meaning would change between two processes.
 */
template<typename Message>
void checkRoundTrip(std::string_view text)
{
    ProtocolError error;
    const auto message = decodeMessage<Message>(text, error);
    if (!message) {
        if (error.reason.empty()) {
            std::cerr << "a refused message has no reason\n";
            std::abort();
        }
        return;
    }
    const std::string encoded = encodeMessage(*message);
    const auto decodedAgain = decodeMessage<Message>(std::string_view(encoded), error);
    if (!decodedAgain || encodeMessage(*decodedAgain) != encoded) {
        std::cerr << "an accepted message changes when it is encoded and decoded again: " << encoded << ' '
                  << error.reason << '\n';
        std::abort();
    }
}

} // namespace coriander
