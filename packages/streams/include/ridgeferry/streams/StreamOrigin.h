#pragma once

#include <string>

namespace ridgeferry::streams {

/**
 * What began a stream, and alone may go on with it: upstreams of one service
 * that run one version of their software. What two versions write does not fit
 * together. A plain value.
 */
struct StreamOrigin
{
  std::string m_service;
  std::string m_softwareVersion;

  bool operator==(const StreamOrigin&) const = default;
};

} // namespace ridgeferry::streams
