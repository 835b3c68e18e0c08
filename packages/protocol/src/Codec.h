#pragma once

#include <cstdint>
#include <memory>
#include <ridgeferry/protocol/Messages.h>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <tl/expected.hpp>

// Bytes of generated messages, in Thrift's compact protocol.

namespace ridgeferry::protocol {

/** Longest message that is read, in bytes: bounds what a peer can claim. */
inline constexpr int kMaxMessage = 64 * 1024 * 1024;

template<typename Message>
std::string
Write(const Message& aMessage)
{
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

template<typename Message>
tl::expected<Message, DecodeError>
Read(std::string_view aBytes)
{
  // Thrift reads from a pointer without const, but only observes it here.
  auto* bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
  auto config = std::make_shared<apache::thrift::TConfiguration>(kMaxMessage);
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
    bytes,
    static_cast<std::uint32_t>(aBytes.size()),
    apache::thrift::transport::TMemoryBuffer::OBSERVE,
    config);
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  Message message;
  try {
    message.read(&protocol);
  } catch (const std::exception& error) {
    return tl::unexpected(DecodeError{ error.what() });
  }
  return message;
}

} // namespace ridgeferry::protocol
