#pragma once

// Public header of libserving.
