#pragma once

// Public header of libcontrol.
