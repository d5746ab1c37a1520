package org.gooseberrypier.internal.placement;

import java.util.Arrays;

import org.gooseberrypier.internal.board.EndpointWork;

/**
 * Orders the endpoints with free slots for one work by rank, smallest first.
 *
 * <p>A binary heap whose entries store their position, so that each change takes logarithmic time.
 */
final class EndpointHeap {

    private static final int INITIAL_CAPACITY = 16;

    private EndpointWork[] heap = new EndpointWork[INITIAL_CAPACITY];
    private int size;

    int size() {
        return size;
    }

    EndpointWork get(int index) {
        return heap[index];
    }

    void put(EndpointWork entry, double rank) {
        entry.setRank(rank);
        if (entry.position() == EndpointWork.NOT_INDEXED) {
            if (size == heap.length) {
                heap = Arrays.copyOf(heap, 2 * size);
            }
            set(size++, entry);
        }
        siftDown(siftUp(entry.position()));
    }

    void remove(EndpointWork entry) {
        int position = entry.position();
        if (position == EndpointWork.NOT_INDEXED) {
            return;
        }
        entry.setPosition(EndpointWork.NOT_INDEXED);
        EndpointWork last = heap[--size];
        heap[size] = null;
        if (last != entry) {
            set(position, last);
            siftDown(siftUp(position));
        }
    }

    private int siftUp(int start) {
        int i = start;
        EndpointWork entry = heap[i];
        while (i > 0 && entry.rank() < heap[(i - 1) / 2].rank()) {
            set(i, heap[(i - 1) / 2]);
            i = (i - 1) / 2;
        }
        set(i, entry);
        return i;
    }

    private void siftDown(int start) {
        int i = start;
        EndpointWork entry = heap[i];
        int child = smallerChild(i);
        while (child < size && heap[child].rank() < entry.rank()) {
            set(i, heap[child]);
            i = child;
            child = smallerChild(i);
        }
        set(i, entry);
    }

    private int smallerChild(int i) {
        int left = 2 * i + 1;
        boolean rightIsSmaller = left + 1 < size && heap[left + 1].rank() < heap[left].rank();
        return rightIsSmaller ? left + 1 : left;
    }

    private void set(int i, EndpointWork entry) {
        heap[i] = entry;
        entry.setPosition(i);
    }
}
