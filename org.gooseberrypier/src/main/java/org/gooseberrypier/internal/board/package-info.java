/** The blackboard, which holds the state shared by the controllers of one VM in typed sections. */
package org.gooseberrypier.internal.board;
