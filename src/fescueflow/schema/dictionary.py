"""Deflate dictionary of messages, written by tools/make_dictionary.py.

Most messages are too short for deflate to find repetitions within them. Both
sides must have the same dictionary: a change needs a new version of datagrams.
"""

import base64
import zlib

DICTIONARY = zlib.decompress(
    base64.b85decode(
        "c-rmOKTASU9LDi;Or<|oIyeLgIW#ypC`dE}88kFFbfLimjlBt{aBB7?L{s#38XOuN92^`R8XAJm&"
        "988TYv=wlBjWx<9`wrR9IkMmqm)v+YC0+Vn$0?yvF}Iw&V63jYSHM3&#A>fpPQ$M^;N|BTKU277e"
        "|)ax0zPii0gW8zZpICw{3Q87RaK_dz&S4@p|)K0dEhdM3!+XLa&5(h*Ke}I1Qm!!K>jk$YY$Q&}-"
        "nG;55l|oR-jQ;$7gh$V;5I&}-pc;k3zXoEwjqOfvsv3K7rQ>@v?;dSdOH``M1z&zi7zqV`o>aBb^"
        "H*VD25^b+^?EX-7TJ%4a|8-BOr>FExiqxQc{KR<Z-dA6?hoDZbE9J(7e4gDO@uRZ#;C+GpU-wpj9"
        "I8IsU74i1)N_aD;BJ|vIf}!sN$EgWD_q<>@F9eQrEcB{)HM|Di%xMZe_uOGPKLn0*;qj75=C4iO)"
        "333glS}q$&eL;W^@OBPH-BUu9m`FB<339J)2ygJ?>zl!R@9${{yZb=WS2hd3ZB>R>{H`uJdKkPda"
        "rnI{7+%l$u8?jyfNMcZ-O_$c@=s?yb<0AZ-g@zdM|hbyaC<-XDIZZ@%nguygts0$4ln_^-JvM$cp"
        ">L{8GQfTSwk6aqpwsFCQp5X)6"
    )
)

__all__ = ["DICTIONARY"]
