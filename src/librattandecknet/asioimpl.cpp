// Compiles the parts of Asio and Beast that are not templates once for the whole library.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
