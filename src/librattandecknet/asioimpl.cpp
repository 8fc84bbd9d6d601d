// Compiles the non-template parts of Asio and Beast once for the whole library.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
