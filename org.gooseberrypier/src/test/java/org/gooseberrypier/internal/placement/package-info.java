/** Tests placement on virtual time, with hand-written fakes. */
package org.gooseberrypier.internal.placement;
