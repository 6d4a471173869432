/*
 * doubtful.h -- header fields that leave the end of a body in doubt (RFC 9112,
 * 6 and 7), each with a body.
 */
#ifndef MU_DOUBTFUL_H
#define MU_DOUBTFUL_H

struct doubtful_head {
	const char *fields;
};

#define DOUBTFUL_HEADS \
	{"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi"}, \
	    {"Content-Length: 2, 3\r\n\r\nhi"}, \
	    {"Content-Length: +2\r\n\r\nhi"}, \
	    {"Content-Length: -2\r\n\r\nhi"}, \
	    {"Content-Length: 2x\r\n\r\nhi"}, \
	    {"Content-Length: 0x2\r\n\r\nhi"}, \
	    {"Content-Length: 2 2\r\n\r\nhi"}, \
	    {"Content-Length: 18446744073709551618\r\n\r\nhi"}, \
	    {"Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n" \
	     "2\r\nhi\r\n0\r\n\r\n"}, \
	    {"Content-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n" \
	     "2\r\nhi\r\n0\r\n\r\n"}, \
	    {"Transfer-Encoding: chunked, chunked\r\n\r\n" \
	     "2\r\nhi\r\n0\r\n\r\n"}, \
	    {"Transfer-Encoding: identity\r\n\r\nhi"}, \
	    {"Transfer-Encoding: \r\n\r\nhi"}, \
	    {"Transfer-Encoding: xchunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"}, \
	    {"Transfer-Encoding: chunked\r\n\r\n-2\r\nhi\r\n0\r\n\r\n"}, \
	    {"Transfer-Encoding: chunked\r\n\r\n0x2\r\nhi\r\n0\r\n\r\n"}, \
	    {"Transfer-Encoding: chunked\r\n\r\n" \
	     "10000000000000002\r\nhi\r\n0\r\n\r\n"}, \
	    {"Transfer-Encoding: chunked\r\n\r\n2\r\nhix\r\n0\r\n\r\n"}, \
	    {"Transfer-Encoding: chunked\r\n\r\n\r\nhi\r\n0\r\n\r\n"}, \
	    {"X\r\nContent-Length: 2\r\n\r\nhi"}, \
	{ \
		": x\r\nContent-Length: 2\r\n\r\nhi" \
	}

#endif
