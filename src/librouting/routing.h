#pragma once

// Public header of librouting.
