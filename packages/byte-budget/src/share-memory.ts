const mebibyte = 1024 * 1024;

/** Sizes of the parts of the budget, in bytes. */
export type MemoryShares = Readonly<{
	/** The region for bodies of more than `smallBodyBytes`. */
	region: number;
	/** Small bodies, which large ones can't displace. */
	smallBodies: number;
	/** Responses of upstreams that are buffered until they are complete. */
	responses: number;
	/** Responses that callers have not read yet. */
	unread: number;
	/** Texts of running samples. */
	texts: number;
}>;

/** Bodies up to this size have a share of their own. */
export const smallBodyBytes = 64 * 1024;
/** The region holds one body of the largest size beside some smaller ones, however small the VM is. */
const minRegionBytes = 40 * mebibyte;
/**
Shares of the memory of the VM. A daemon without load takes a third of the smallest VM (61 of 178 MB), and its heap may grow by
another third before the garbage is collected.
*/
const regionShare = 0.225;
const smallShare = 0.04;
const responseShare = 0.07;
const unreadShare = 0.07;
const textShare = 0.12;

/** Shares out the memory of a VM, in megabytes. Everything is unlimited if it is not known. */
export function shareMemory(memoryMb: number | undefined): MemoryShares {
	if (memoryMb === undefined) {
		const unlimited = Number.POSITIVE_INFINITY;
		return {
			region: unlimited, smallBodies: unlimited, responses: unlimited, unread: unlimited, texts: unlimited,
		};
	}

	const bytes = memoryMb * mebibyte;
	return {
		region: Math.max(minRegionBytes, Math.floor(bytes * regionShare)),
		smallBodies: Math.floor(bytes * smallShare),
		responses: Math.floor(bytes * responseShare),
		unread: Math.floor(bytes * unreadShare),
		texts: Math.floor(bytes * textShare),
	};
}
